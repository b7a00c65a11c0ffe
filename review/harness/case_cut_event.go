package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	cutEngines    = 8
	cutFaulty     = 3 // of the engines
	streamEvents  = 20
	streamPause   = 3 * time.Millisecond
	cutAfter      = 12 // events of a stream that is cut off within the next one
	cutOneIn      = 40 // share of the answers that the faulty runners cut off
	cutFor        = 4 * time.Second
	cutStreams    = 400
	cutClients    = 10 // that send streams at the same time
	streamHeaders = "Model: m\r\nToken-Usage: 400,80\r\nPrompt-Prefix: 5c1e07a2:300,e4402b7d:100\r\n"
)

// wholeStream returns the sound stream for a request.
func wholeStream(id string) string {
	var text strings.Builder
	for event := range streamEvents {
		text.WriteString(streamEvent(id, event+1))
	}
	return text.String()
}

// serveStream runs a generation and answers it soundly.
func serveStream(r *runner, c *exchange) {
	r.run(c)
	c.beginStream()
	for event := range streamEvents {
		<-time.After(streamPause)
		c.chunk(streamEvent(c.id, event+1))
	}
	c.chunk("")
}

// serveCutStream ends the body of a stream within an event.
func serveCutStream(r *runner, c *exchange) {
	r.run(c)
	c.beginStream()
	for event := range cutAfter {
		<-time.After(streamPause)
		c.chunk(streamEvent(c.id, event+1))
	}
	next := streamEvent(c.id, cutAfter+1)
	c.chunk(next[:len(next)/2])
	c.chunk("")
	r.d.record.add("%s breaks off its answer to %s within event %d and ends the body", r.id, c.id, cutAfter+1)
}

// cutEvent checks that a stream that a runner ends within an event does not reach the client as a
// complete one.
func cutEvent(d *deployment, trouble bool) (bool, error) {
	if err := d.putConfig(1, 4<<20); err != nil {
		return false, err
	}
	var answers atomic.Int64 // of the faulty runners
	var began atomic.Int64   // Unix nanoseconds of the first stream
	serveFaulty := func(r *runner, c *exchange) {
		began.CompareAndSwap(0, time.Now().UnixNano())
		if answers.Add(1)%cutOneIn == 0 && time.Since(time.Unix(0, began.Load())) < cutFor {
			serveCutStream(r, c)
			return
		}
		serveStream(r, c)
	}
	for number := range cutEngines {
		serve := serveStream
		if trouble && number < cutFaulty {
			serve = serveFaulty
		}
		if _, err := d.addRunner("llm", zoneName(number), 24, serve); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	broken, whole, failed := 0, 0, 0
	var mu sync.Mutex
	count := func(id string, got answer) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case got.complete() && got.status == 200 && got.body == wholeStream(id):
			whole++
		case got.complete() && got.status == 200:
			broken++
			d.record.add("%s: client got %s, which ends after %d of %d events: %q", id, got, strings.Count(got.body, "\n\n"), streamEvents, tail(got.body))
		default:
			failed++
			d.record.add("%s: client got %s", id, got)
		}
	}
	var all sync.WaitGroup
	for worker := range cutClients {
		all.Go(func() {
			for number := worker; number < cutStreams; number += cutClients {
				c, err := dial(d.hosts[number%len(d.hosts)])
				if err != nil {
					d.record.add("%v", err)
					return
				}
				id := fmt.Sprintf("c07e%012x", number)
				count(id, c.call("POST", "/draft/1", id, 39*time.Second, streamHeaders, "draft"))
				c.close()
			}
		})
	}
	all.Wait()
	d.record.add("%d streams, %d answers of faulty runners: %d whole, %d failed visibly, %d complete in form but cut off", cutStreams, answers.Load(), whole, failed, broken)
	if !trouble && whole < cutStreams {
		return false, fmt.Errorf("only %d of %d streams were whole without trouble", whole, cutStreams)
	}
	return broken > 0, nil
}

// tail returns the end of a body.
func tail(body string) string { return body[max(len(body)-40, 0):] }
