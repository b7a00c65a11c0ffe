package main

import (
	"net"
	"sync"
	"time"
)

// outage is the crash of one runner and the time until it is back. It is safe for concurrent use.
type outage struct {
	mu     sync.Mutex
	runner *runner
	until  time.Time
	conns  map[net.Conn]*runner
}

// track records a connection of a runner. It returns false if the runner is down.
func (o *outage) track(r *runner, conn net.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runner == r && time.Now().Before(o.until) {
		closeByCrash(conn)
		return false
	}
	if o.conns == nil {
		o.conns = map[net.Conn]*runner{}
	}
	o.conns[conn] = r
	return true
}

// begin crashes a runner: all its connections break.
func (o *outage) begin(r *runner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.d.record.add("%s crashes", r.id)
	o.runner, o.until = r, time.Now().Add(crashDownTime)
	for conn, owner := range o.conns {
		if owner == r {
			closeByCrash(conn)
		}
	}
}
