package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// enginePool is a set of runners that move the memory of their runs to each other.
type enginePool struct {
	d       *deployment
	events  int           // of each stream
	pause   time.Duration // between two events
	chunked bool          // otherwise streams have neither a length nor chunks, and end with their connection
	mu      sync.Mutex
	lasts   map[string]string      // runner that stopped a run on a call with the field last, by request id
	runs    map[string]*generation // by runner and request id
	handles map[string]*generation // by handle
	gone    map[string]bool        // runners that have left
}

func newEnginePool(d *deployment, events int, pause time.Duration, chunked bool) *enginePool {
	return &enginePool{d: d, events: events, pause: pause, chunked: chunked, lasts: map[string]string{}, runs: map[string]*generation{}, handles: map[string]*generation{}, gone: map[string]bool{}}
}

// serve serves a request at a runner.
func (p *enginePool) serve(r *runner, c *exchange) {
	p.mu.Lock()
	gone := p.gone[r.id]
	p.mu.Unlock()
	switch {
	case gone:
		closeByCrash(c.conn)
		c.closed = true
	case c.request.URL.Path == "/siskintide/kv-move":
		p.serveMove(r, c)
	case strings.HasPrefix(c.request.URL.Path, "/siskintide/kv-handle/"):
		c.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	case c.request.URL.Path == "/siskintide/report":
		c.json("200 OK", map[string]any{"state": "ready", "waiting": 0, "running": 0})
	default:
		p.serveStream(r, c)
	}
}

// serveStream runs a generation, or goes on with one whose memory is here.
func (p *enginePool) serveStream(r *runner, c *exchange) {
	first := 1
	if from := c.request.Header.Get("Kv-From"); from != "" {
		_, handle, _ := strings.Cut(from, "/")
		p.mu.Lock()
		moved := p.handles[handle]
		delete(p.handles, handle)
		if moved == nil {
			moved = p.copyOf(handle, r)
		}
		p.mu.Unlock()
		if moved == nil || moved.id != c.id {
			c.json("503 Service Unavailable", nil)
			return
		}
		last, _ := strconv.Atoi(c.request.Header.Get("Last-Event-Id"))
		first = last + 1
	}
	g := &generation{id: c.id, runner: r.id, backup: c.request.Header.Get("Kv-Backup"), stop: make(chan struct{}), stopped: make(chan struct{})}
	p.mu.Lock()
	p.runs[r.id+" "+c.id] = g
	p.mu.Unlock()
	r.run(c)
	if first > 1 {
		p.d.record.add("%s goes on with %s from event %d on", r.id, c.id, first)
	}
	defer close(g.stopped)
	for event := first; event <= p.events; event++ {
		select {
		case <-time.After(p.pause):
		case <-g.stop:
			c.finish()
			return
		}
		if event == first {
			p.writeHead(c)
		}
		if p.chunked {
			c.chunk(streamEvent(c.id, event))
		} else {
			c.write(streamEvent(c.id, event))
		}
		if c.closed {
			return
		}
	}
	if p.chunked {
		c.chunk("")
	}
	c.finish()
}

// writeHead writes the head of a stream.
func (p *enginePool) writeHead(c *exchange) {
	if p.chunked {
		c.beginStream()
		return
	}
	c.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + c.id + "\r\nResponse-Signature: " + signature(c.id) + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
}

// copyOf returns the run whose copy a runner keeps, if there is one.
func (p *enginePool) copyOf(id string, holder *runner) *generation {
	for _, g := range p.runs {
		if g.id == id && g.backup == holder.address {
			return g
		}
	}
	return nil
}

// serveMove copies the memory of a run to another runner. With the field last it stops the run first, and closes
// its stream without its end.
func (p *enginePool) serveMove(r *runner, c *exchange) {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal(c.body, &call); err != nil {
		c.json("400 Bad Request", nil)
		return
	}
	p.mu.Lock()
	g := p.runs[r.id+" "+call.ID]
	p.mu.Unlock()
	if g == nil {
		c.json("404 Not Found", nil)
		return
	}
	if call.Last {
		p.d.record.add("%s: %s is stopped and its memory moved to %s", r.id, call.ID, call.To)
		g.once.Do(func() { close(g.stop) })
		<-g.stopped
		p.mu.Lock()
		p.lasts[call.ID] = r.id
		p.mu.Unlock()
	}
	<-time.After(20 * time.Millisecond) // the copy
	handle := "h-" + r.id + "-" + call.ID + "-" + strings.ReplaceAll(call.To, ":", "-")
	p.mu.Lock()
	p.handles[handle] = g
	p.mu.Unlock()
	c.json("200 OK", map[string]any{"handle": handle, "create-rev": 0})
}

// stoppedBy returns the runner that stopped a run because a host asked for it; empty for none.
func (p *enginePool) stoppedBy(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lasts[id]
}

// leave makes a runner report that it is draining, and ends it after a time.
func (p *enginePool) leave(r *runner, after time.Duration) {
	p.d.record.add("%s is draining", r.id)
	r.registered("draining")
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.gone[r.id] = true
		_ = r.listener.Close()
		for _, g := range p.runs {
			if g.runner == r.id {
				g.once.Do(func() { close(g.stop) })
			}
		}
		p.d.record.add("%s is gone", r.id)
	})
}

// json writes a JSON response; nil stands for one without a body that says that nothing was run.
func (c *exchange) json(status string, body map[string]any) {
	if body == nil {
		c.write("HTTP/1.1 " + status + "\r\nAttempt-Id: " + c.id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	text, _ := json.Marshal(body) // cannot fail: all values are JSON types
	c.write(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text))
}

// finish closes the connection in order, after the last byte.
func (c *exchange) finish() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.closed = true
}
