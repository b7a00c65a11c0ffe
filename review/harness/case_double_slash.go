package main

import (
	"fmt"
	"sync"
)

// doubleSlash checks that a path that begins with two slashes reaches the runner unchanged.
func doubleSlash(d *deployment, trouble bool) (bool, error) {
	if err := d.putConfig(1, 4<<20); err != nil {
		return false, err
	}
	var mu sync.Mutex
	seen := map[string]string{}
	for number := range 3 {
		if _, err := d.addRunner("web", zoneName(number), 6, func(r *runner, c *exchange) {
			mu.Lock()
			seen[c.id] = c.request.RequestURI + " at host " + c.request.Host
			mu.Unlock()
			serveCall(r, c)
		}); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	path := "/cancel//slot/7?day=2"
	if trouble {
		path = "//cancel/slot/7?day=2"
	}
	broken := 0
	for number := range 30 {
		id := fmt.Sprintf("9000%012x", number)
		got, err := oneCall(d.hosts[number%len(d.hosts)], "GET", path, id)
		if err != nil {
			return false, err
		}
		mu.Lock()
		arrived := seen[id]
		mu.Unlock()
		if d.runCount(id) > 0 && arrived != path+" at host "+routeHost {
			broken++
			d.record.add("%s: sent %s at host %s; runner ran %s; client got %s", id, path, routeHost, arrived, got)
		}
	}
	d.record.add("%d requests ran with another path", broken)
	return broken > 0, nil
}
