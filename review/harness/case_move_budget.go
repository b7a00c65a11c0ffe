package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	releaseEngines  = 12
	releaseCount    = 5 // of the engines that are replaced
	releaseGap      = time.Second
	releaseAfter    = 17 * time.Second // from the first draft
	releaseDrains   = 6 * time.Second  // from an engine's notice until it is gone
	releaseDrafts   = 200
	releaseInterval = 110 * time.Millisecond // between two drafts
	releaseEvents   = 240
	releasePause    = 100 * time.Millisecond
	releaseConfigAt = 2500 * time.Millisecond // from the first engine's notice to the change of the configuration
	// releaseWindow is the time after a change of the configuration in which it counts as planned work:
	// config-deadline-ms + 1 s.
	releaseWindow  = 3 * time.Second
	releaseHeaders = "Model: m\r\nToken-Usage: 660,960\r\nPrompt-Prefix: 5c1e07a2:79,%08x:581\r\n"
)

// moveBudget checks that the generations of runners that are replaced one after the other are not ended by the
// hosts.
func moveBudget(d *deployment, trouble bool) (bool, error) {
	if err := d.putConfig(1, 4<<20); err != nil {
		return false, err
	}
	pool := newEnginePool(d, releaseEvents, releasePause, true)
	for number := range releaseEngines {
		if _, err := d.addRunner("llm", zoneName(number), 24, pool.serve); err != nil {
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
	<-time.After(10 * time.Second) // the traffic begins ten seconds after the machines have started
	var all sync.WaitGroup
	var mu sync.Mutex
	var changedAt time.Time // of the configuration
	whole, lost, atOtherTimes, other := 0, 0, 0, 0
	if trouble {
		all.Go(func() { release(d, pool) })
	}
	time.AfterFunc(releaseAfter+releaseConfigAt, func() {
		mu.Lock()
		defer mu.Unlock()
		changedAt = time.Now()
		d.lookupTimeout = 4500
		if err := d.putConfig(2, 4<<20); err != nil {
			d.record.add("%v", err)
		}
		d.record.add("the configuration changes: another timeout of the lookups")
	})
	for number := range releaseDrafts {
		all.Go(func() {
			id := fmt.Sprintf("a300%012x", number)
			got := releaseDraft(d, number, id)
			events, stopped := strings.Count(got.body, "\n\n"), pool.stoppedBy(id)
			mu.Lock()
			defer mu.Unlock()
			inWindow := !changedAt.IsZero() && time.Since(changedAt) < releaseWindow
			switch {
			case got.complete() && got.status == 200 && events == releaseEvents:
				whole++
				return
			case got.status == 200 && stopped != "" && inWindow:
				lost++
			case got.status == 200 && stopped != "":
				atOtherTimes++
			default:
				other++
			}
			d.record.add("%s on a kept connection: runs at %v, stopped for a host at %q; client got %s, %d of %d events", id, d.ranAt(id), stopped, got, events, releaseEvents)
		})
		<-time.After(releaseInterval)
	}
	all.Wait()
	d.record.add("%d drafts: %d whole; closed by a host after it had the run stopped at a sound runner: %d while the configuration was new, %d at other times; %d others not whole", releaseDrafts, whole, lost, atOtherTimes, other)
	return lost > lostAllowed, nil
}

// release replaces engines one after the other: a new one starts, then the old one drains.
func release(d *deployment, pool *enginePool) {
	<-time.After(releaseAfter)
	for number := range releaseCount {
		old := d.runners[number]
		r, err := newRunner(d, fmt.Sprintf("i-llm-new-%d", number), "llm", old.zone, 24, pool.serve)
		if err != nil {
			d.record.add("%v", err)
			return
		}
		defer func() { _ = r }()
		pool.leave(old, releaseDrains)
		<-time.After(releaseGap)
	}
}

// releaseDraft makes a lookup on a new connection, and then asks for a draft on it.
func releaseDraft(d *deployment, number int, id string) answer {
	c, err := dial(d.hosts[number%len(d.hosts)])
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	if got := c.call("GET", "/look/1", fmt.Sprintf("a400%012x", number), 5*time.Second, "", ""); got.status != 200 {
		return got
	}
	return c.call("POST", "/draft/1", id, 39*time.Second, fmt.Sprintf(releaseHeaders, number), "draft")
}
