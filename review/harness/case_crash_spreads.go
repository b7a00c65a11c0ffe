package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	crashEngines  = 6 // one of them crashes
	crashedRunner = 0
	crashDownTime = 4500 * time.Millisecond
	crashAfter    = 1250 * time.Millisecond // from the first draft
	crashDrafts   = 14
	draftInterval = 90 * time.Millisecond // between two drafts of all clients
	// prefill is the time for which a runner reads its prompts: three of 9,000 tokens at 14 tokens a
	// millisecond.
	prefill      = 1900 * time.Millisecond
	crashEvents  = 30
	eventPause   = 20 * time.Millisecond
	afterwards   = 12 // drafts that are sent one after the other later
	lostAllowed  = 3  // by the rule
	draftHeaders = "Model: m\r\nToken-Usage: 9000,120\r\nPrompt-Prefix: 5c1e07a2:300,%08x:8700\r\n"
)

// crashSpreads checks that the crash of one runner, while the first requests with a shared part of a prompt are
// read in, does not end the requests at the other runners.
func crashSpreads(d *deployment, trouble bool) (bool, error) {
	if err := d.putConfig(1, 4<<20); err != nil {
		return false, err
	}
	down := &outage{}
	for number := range crashEngines {
		_, err := d.addRunner("llm", zoneName(number), 24, func(r *runner, c *exchange) { servePrefilledStream(r, c, down) })
		if err != nil {
			return false, err
		}
	}
	for number := range 3 {
		if _, err := d.addRunner("web", zoneName(number), 6, serveCall); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	clients := make([]*client, crashDrafts)
	for number := range clients {
		c, err := dial(d.hosts[number%len(d.hosts)])
		if err != nil {
			return false, err
		}
		defer c.close()
		if got := c.call("GET", "/look/1", fmt.Sprintf("a100%012x", number), 5*time.Second, "", ""); got.status != 200 {
			return false, fmt.Errorf("first request on a connection: %s", got)
		}
		clients[number] = c
	}
	if trouble {
		time.AfterFunc(crashAfter, func() { down.begin(d.runners[crashedRunner]) })
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	lost, refused := 0, 0
	for number, c := range clients {
		all.Go(func() {
			id := fmt.Sprintf("b100%012x", number)
			got := c.call("POST", "/draft/1", id, 39*time.Second, fmt.Sprintf(draftHeaders, number), "draft")
			at := d.ranAt(id)
			d.record.add("%s on a kept connection: runs at %v; client got %s", id, at, got)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case len(at) > 0 && at[0] == d.runners[crashedRunner].id:
			case len(at) > 0 && !got.complete():
				lost++
			case got.status != 200:
				refused++
			}
		})
		<-time.After(draftInterval)
	}
	all.Wait()
	d.record.add("%d requests that had been passed on to sound runners lost their connection without a complete answer; %d others were refused", lost, refused)
	for number := range afterwards {
		<-time.After(time.Second)
		id := fmt.Sprintf("c100%012x", number)
		c, err := dial(d.hosts[number%len(d.hosts)])
		if err != nil {
			return false, err
		}
		got := c.call("POST", "/draft/1", id, 39*time.Second, fmt.Sprintf(draftHeaders, 1000+number), "draft")
		c.close()
		d.record.add("%s, sent afterwards: client got %s %.120q", id, got, got.body)
	}
	return lost > lostAllowed, nil
}

// servePrefilledStream sends the head of its answer at once, reads the prompt, and then sends the events.
func servePrefilledStream(r *runner, c *exchange, down *outage) {
	if !down.track(r, c.conn) {
		c.closed = true
		return
	}
	r.run(c)
	c.beginStream()
	<-time.After(prefill)
	for event := 0; event < crashEvents && !c.closed; event++ {
		c.chunk(streamEvent(c.id, event+1))
		<-time.After(eventPause)
	}
	c.chunk("")
}

// closeByCrash closes a connection as the end of its process does.
func closeByCrash(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
