package main

import (
	"fmt"
	"sync"
	"time"
)

// playCallCut crashes one of three runners of a plain service again and again while it writes answers that end with
// their connections.
func playCallCut(s *session) error {
	const (
		size    = 4800 // bytes, the most that an answer of the site has
		clients = 12
		pause   = 100 * time.Millisecond // together some 75 requests a second, as in a burst of the site
		crashes = 8
		down    = 4500 * time.Millisecond
		up      = 2 * time.Second
	)
	s.store.Put("op", "config", config(100))
	var targets []*target
	for n := range 3 {
		t, err := s.startTarget(fmt.Sprintf("i-booking-%d", n+1), plainService, "oslo-a", "", runnerOptions{unframed: true, size: size, pieces: 12, work: 60 * time.Millisecond, slots: 6})
		if err != nil {
			return err
		}
		targets = append(targets, t)
	}
	hosts, err := s.startHosts("oslo-a", "oslo-a")
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for c := range clients {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				id := fmt.Sprintf("%04x%012x", c, n)
				method, path := "POST", bookingPrefix+"2f"
				if n%4 == 3 {
					method, path = "GET", lookupPrefix+"2f"
				}
				a := s.ask(hosts[(c+n)%len(hosts)].front(), method, path, id, 1500*time.Millisecond, nil, prompt{})
				if a.err == nil && a.status/100 == 2 && (!a.signed || a.body != callBody(id, size)) {
					s.violate("MIXED: %s %s: a success that is complete for the client has %d of the %d bytes of the runner's body", id, path, len(a.body), size)
				}
			}
		})
	}
	<-time.After(2 * time.Second)
	for n := range crashes {
		t := targets[n%len(targets)]
		if s.trouble {
			t.crash()
		}
		<-time.After(down)
		if s.trouble {
			if err := t.start(); err != nil {
				return err
			}
		}
		<-time.After(up)
	}
	close(stop)
	running.Wait()
	return nil
}

// startHosts starts hosts in the given zones, and waits until they are ready.
func (s *session) startHosts(zones ...string) ([]*host, error) {
	var hosts []*host
	for _, zone := range zones {
		h, err := s.startHost(zone)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := waitUntil("host is ready", 15*time.Second, h.ready); err != nil {
			return nil, err
		}
	}
	<-time.After(time.Second) // the hosts find each other
	return hosts, nil
}
