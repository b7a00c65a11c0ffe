package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	moveEngines   = 6
	moveDrafts    = 30
	moveEvents    = 120
	movePause     = 40 * time.Millisecond
	moveHeaders   = "Model: m\r\nToken-Usage: 3079,480\r\nPrompt-Prefix: 5c1e07a2:79,%08x:3000\r\n"
	leavingEngine = 0
	// leavesAfter is the time from a runner's notice until it is gone.
	leavesAfter = 2 * time.Second
)

// moveEnds checks that a stream whose runner leaves, and whose memory is moved, does not reach the client as a
// complete one before its last event.
func moveEnds(d *deployment, trouble bool) (bool, error) {
	if err := d.putConfig(1, 4<<20); err != nil {
		return false, err
	}
	pool := newEnginePool(d, moveEvents, movePause, false)
	for number := range moveEngines {
		_, err := d.addRunner("llm", zoneName(number), 24, pool.serve)
		if err != nil {
			return false, err
		}
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	whole, failed, broken := 0, 0, 0
	for number := range moveDrafts {
		c, err := dial(d.hosts[number%len(d.hosts)])
		if err != nil {
			return false, err
		}
		defer c.close()
		all.Go(func() {
			id := fmt.Sprintf("a200%012x", number)
			got := c.call("POST", "/draft/1", id, 39*time.Second, fmt.Sprintf(moveHeaders, number), "draft")
			events := strings.Count(got.body, "\n\n")
			d.record.add("%s: runs at %v; client got %s, %d of %d events", id, d.ranAt(id), got, events, moveEvents)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.complete() && got.status == 200 && events == moveEvents:
				whole++
			case got.complete() && got.status == 200:
				broken++
			default:
				failed++
			}
		})
		<-time.After(20 * time.Millisecond)
	}
	<-time.After(time.Second)
	if trouble {
		pool.leave(d.runners[leavingEngine], leavesAfter)
	}
	all.Wait()
	d.record.add("%d streams: %d whole, %d failed visibly, %d complete in form before their last event", moveDrafts, whole, failed, broken)
	if !trouble && whole < moveDrafts {
		return false, fmt.Errorf("only %d of %d streams were whole without trouble", whole, moveDrafts)
	}
	return broken > 0, nil
}
