package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for one runner. A sound one answers with its signature and the complete body.
type runner struct {
	d             *deployment
	id            string
	service, zone string
	slots         int
	address       string
	listener      net.Listener
	serve         func(r *runner, c *exchange)
	mu            sync.Mutex
	runs          map[string]int // runs of each request, by id
	requests      int
	state         string // in the registry
	seq           int
	born          int64
}

func newRunner(d *deployment, id, service, zone string, slots int, serve func(r *runner, c *exchange)) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a runner: %w", err)
	}
	r := &runner{d: d, id: id, service: service, zone: zone, slots: slots, address: listener.Addr().String(), listener: listener, serve: serve, runs: map[string]int{}, born: time.Now().UnixMilli()}
	r.registered("ready")
	go r.accept()
	go r.beat()
	return r, nil
}

// beat writes the runner's entry, as runners do about every heartbeat.
func (r *runner) beat() {
	for {
		select {
		case <-time.After(heartbeat):
			r.registered("")
		case <-r.d.stop:
			return
		}
	}
}

// registered writes the runner's entry, with another state unless that is empty.
func (r *runner) registered(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state != "" {
		r.state = state
	}
	r.seq++
	entry, _ := json.Marshal(map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1",
		"slots": r.slots, "state": r.state, "cold-left-ms": 0, "seq": r.seq, "born": r.born}) // cannot fail: all values are JSON types
	r.d.store.Put("servers", r.id, entry)
}

func (r *runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.handle(conn)
	}
}

// handle serves the requests of one connection.
func (r *runner) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c := &exchange{conn: conn, request: request, body: body, id: request.Header.Get("Attempt-Id")}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+c.id+"\r\nRunner-Id: "+r.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		r.mu.Lock()
		r.requests++
		c.number = r.requests
		r.mu.Unlock()
		r.serve(r, c)
		if c.closed || request.Close {
			return
		}
	}
}

// run records that the runner runs a request.
func (r *runner) run(c *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[c.id]++
}

// ran returns how often the runner has run a request.
func (r *runner) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// signature returns the signature of a sound answer to a request.
func signature(id string) string {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id)) // never fails
	return fmt.Sprintf("3e1b.%x", digest.Sum64())
}

// callBody returns the body of the sound answer to a call.
func callBody(id string) string { return strings.Repeat(signature(id)+"\n", 40) }

// streamEvent returns one event of the sound stream for a request.
func streamEvent(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", event, signature(id), event)
}

// serveCall runs a call and answers it soundly.
func serveCall(r *runner, c *exchange) {
	r.run(c)
	<-time.After(20 * time.Millisecond)
	c.answer("200 OK", true, callBody(c.id))
}
