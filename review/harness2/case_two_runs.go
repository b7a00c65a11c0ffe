package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// playTwoRuns makes one of five engines slow while it runs generations of which others hold copies. An engine notices that a
// connection was closed when it cannot write to it.
func playTwoRuns(s *session) error {
	const (
		engines   = 5
		events    = 236
		streams   = 16
		mayBoth   = 400 // milliseconds for which two runners may work on one request
		slowFor   = 6500 * time.Millisecond
		firstSlow = 3 * time.Second
	)
	s.store.Put("op", "config", config(100))
	slowFile := filepath.Join(s.folder, "slow")
	for n := range engines {
		options := runnerOptions{engine: true, work: 40 * time.Millisecond, slots: 24, keepCopies: true}
		if n == 0 {
			options.slowFile = slowFile
		}
		if _, err := s.startTarget(fmt.Sprintf("i-engine-%d", n+1), engineService, "oslo-a", "", options); err != nil {
			return err
		}
	}
	hosts, err := s.startHosts("oslo-a", "oslo-a")
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	for n := range streams {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 60 * time.Millisecond)
			id := fmt.Sprintf("5%015x", n)
			s.ask(hosts[n%len(hosts)].front(), "POST", draftPrefix+"2f", id, 39*time.Second, []byte("{}"), usualPrompt(id, events))
		})
	}
	time.Sleep(firstSlow)
	if s.trouble {
		if err := os.WriteFile(slowFile, nil, 0o600); err != nil {
			return err
		}
		s.record.add("engine 1 is slow")
		time.Sleep(slowFor)
		_ = os.Remove(slowFile)
		s.record.add("engine 1 is as fast as before")
	}
	running.Wait()
	time.Sleep(200 * time.Millisecond)
	s.mu.Lock()
	all := s.work
	s.mu.Unlock()
	for id, byRunner := range all {
		for former, a := range byRunner {
			for later, b := range byRunner {
				if both := a.last - b.began; former != later && a.began < b.began && both > mayBoth {
					s.violate("TWICE: %s: %s still works on the request %d ms after it began at %s", id, former, both, later)
				}
			}
		}
	}
	return nil
}
