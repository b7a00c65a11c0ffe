package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

const (
	uploads        = 20
	uploadBytes    = 4 << 20 // max-body-bytes of the configuration
	uploadPiece    = 64 << 10
	linkBytesPerS  = 125e6 // 1,000 Mbit/s, for all uploads together
	keptStreams    = 8
	longEvents     = 300
	longPause      = 50 * time.Millisecond
	uploadDeadline = 5 * time.Second
)

// serveLongStream runs a generation of some seconds and answers it soundly.
func serveLongStream(r *runner, c *exchange) {
	r.run(c)
	c.beginStream()
	for event := 0; event < longEvents && !c.closed; event++ {
		<-time.After(longPause)
		c.chunk(streamEvent(c.id, event+1))
	}
	c.chunk("")
}

// largeBodies checks that a host survives clients that send bodies of the size that the configuration
// allows, all at once.
func largeBodies(d *deployment, trouble bool) (bool, error) {
	if err := d.putConfig(1, uploadBytes); err != nil {
		return false, err
	}
	for number := range 3 {
		if _, err := d.addRunner("llm", zoneName(number), 24, serveLongStream); err != nil {
			return false, err
		}
		if _, err := d.addRunner("web", zoneName(number), 24, serveCall); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	h := d.hosts[0]
	var streams sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for number := range keptStreams {
		c, err := dial(h)
		if err != nil {
			return false, err
		}
		defer c.close()
		if got := c.call("GET", "/look/1", fmt.Sprintf("a000%012x", number), uploadDeadline, "", ""); got.status != 200 {
			return false, fmt.Errorf("first request on a connection: %s", got)
		}
		streams.Go(func() {
			id := fmt.Sprintf("b000%012x", number)
			got := c.call("POST", "/draft/1", id, 39*time.Second, "Model: m\r\nToken-Usage: 400,1200\r\nPrompt-Prefix: 5c1e07a2:300,e4402b7d:100\r\n", "draft")
			ran := d.runCount(id)
			d.record.add("%s on a kept connection: client got %s, runs at sound runners: %d", id, got, ran)
			if !got.complete() && ran > 0 {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	<-time.After(2 * time.Second) // until the streams run
	sendUploads(d, h, trouble)
	streams.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	d.record.add("%s: peak %d kB of memory, killed %d times, %d starts", h.name, h.peakKB, h.killed, h.starts)
	d.record.add("%d of %d requests on kept connections that had been passed on to sound runners ended without a complete answer", lost, keptStreams)
	return lost > 3 && h.killed > 0, nil
}

// sendUploads sends the bodies, all at once with trouble and one after the other without.
func sendUploads(d *deployment, h *host, trouble bool) {
	var all sync.WaitGroup
	for number := range uploads {
		rate := linkBytesPerS
		if trouble {
			rate /= uploads
		}
		send := func() {
			id := fmt.Sprintf("d000%012x", number)
			got := upload(h, id, rate)
			d.record.add("%s: body of %d bytes: client got %s", id, uploadBytes, got)
		}
		if !trouble {
			send()
			continue
		}
		all.Go(send)
	}
	all.Wait()
}

// upload sends one request with a large body at a rate and reads the response.
func upload(h *host, id string, bytesPerS float64) answer {
	c, err := dial(h)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	if _, err := io.WriteString(c.conn, head("POST", "/book/1", id, uploadDeadline, "", uploadBytes)); err != nil {
		return answer{err: err}
	}
	piece := strings.Repeat("x", uploadPiece)
	started := time.Now()
	for sent := 0; sent < uploadBytes; sent += uploadPiece {
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return answer{err: err}
		}
		due := time.Duration(float64(sent+uploadPiece) / bytesPerS * float64(time.Second))
		<-time.After(due - time.Since(started))
	}
	return c.read("POST", uploadDeadline)
}
