package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

const (
	uploads        = 30
	uploadBytes    = 4 << 20 // max-body-bytes of the configuration
	uploadPiece    = 64 << 10
	linkBytesPerS  = 125e6 // 1,000 Mbit/s, for all uploads together
	keptCalls      = 8
	longCall       = 4 * time.Second // work of a call that the sound runners still have at the uploads
	uploadDeadline = 5 * time.Second
)

// serveLongCall runs a call on the path /book/long for some seconds and any other one for some milliseconds, and
// answers it soundly.
func serveLongCall(r *runner, c *exchange) {
	if c.request.URL.Path != "/book/long" {
		serveCall(r, c)
		return
	}
	r.run(c)
	<-time.After(longCall)
	c.answer("200 OK", true, callBody(c.id))
}

// largeBodies checks that a host survives clients that send bodies of the size that the configuration
// allows, all at once.
func largeBodies(d *deployment, trouble bool) (bool, error) {
	if err := d.putConfig(1, uploadBytes); err != nil {
		return false, err
	}
	for number := range 3 {
		if _, err := d.addRunner("web", zoneName(number), 24, serveLongCall); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	h := d.hosts[0]
	var calls sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for number := range keptCalls {
		c, err := dial(h)
		if err != nil {
			return false, err
		}
		defer c.close()
		if got := c.call("GET", "/look/1", fmt.Sprintf("a000%012x", number), uploadDeadline, "", ""); got.status != 200 {
			return false, fmt.Errorf("first request on a connection: %s", got)
		}
		calls.Go(func() {
			id := fmt.Sprintf("b000%012x", number)
			got := c.call("POST", "/book/long", id, uploadDeadline, "", "slot=7")
			ran := d.runCount(id)
			d.record.add("%s on a kept connection: client got %s, runs at sound runners: %d", id, got, ran)
			if got.status == 0 && ran > 0 {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	<-time.After(500 * time.Millisecond) // until the calls run
	sendUploads(d, h, trouble)
	calls.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	d.record.add("%s: peak %d kB of memory, killed %d times, %d starts", h.name, h.peakKB, h.killed, h.starts)
	d.record.add("%d of %d requests on kept connections that had been passed on to sound runners ended without an answer", lost, keptCalls)
	return lost > lostAllowed && h.killed > 0, nil
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
