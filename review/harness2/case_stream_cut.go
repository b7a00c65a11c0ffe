package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playStreamCut cuts one of five engines off from all machines. It crashes behind the cut and starts again, and the cut heals.
func playStreamCut(s *session) error {
	const (
		engines = 5
		events  = 236
		streams = 60
	)
	s.store.Put("op", "config", config(100))
	var targets []*target
	var proxies []*proxy
	for n := range engines {
		listen, err := freeAddress()
		if err != nil {
			return err
		}
		p, err := newProxy(listen)
		if err != nil {
			return err
		}
		t, err := s.startTarget(fmt.Sprintf("i-engine-%d", n+1), engineService, "oslo-a", p.address, runnerOptions{listen: listen, engine: true, unframed: true, work: 40 * time.Millisecond, slots: 24})
		if err != nil {
			return err
		}
		targets, proxies = append(targets, t), append(proxies, p)
	}
	hosts, err := s.startHosts("oslo-a", "oslo-a")
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	for n := range streams {
		running.Go(func() {
			<-time.After(time.Duration(n) * 40 * time.Millisecond)
			id := fmt.Sprintf("5%015x", n)
			a := s.ask(hosts[n%len(hosts)].front(), "POST", draftPrefix+"2f", id, 39*time.Second, []byte("{}"), usualPrompt(id, events))
			got := strings.Count(a.body, "\n\n")
			whole := true
			for event := range events {
				whole = whole && strings.Contains(a.body, streamEvent(id, event))
			}
			if a.err == nil && a.status == 200 && (!whole || !a.signed) {
				s.violate("ORDER: %s: the stream ends as complete after %d of %d events", id, got, events)
			}
		})
	}
	<-time.After(5 * time.Second)
	if s.trouble {
		proxies[0].cut()
		targets[0].setCut(true)
		s.record.add("engine 1 is cut off")
		<-time.After(1500 * time.Millisecond)
		targets[0].crash()
		<-time.After(2 * time.Second)
		if err := targets[0].start(); err != nil {
			return err
		}
		<-time.After(2 * time.Second)
		if err := proxies[0].heal(); err != nil {
			return err
		}
		targets[0].setCut(false)
		s.record.add("the cut heals")
	}
	running.Wait()
	return nil
}
