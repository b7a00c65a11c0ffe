package main

import (
	"fmt"
	"sync"
	"time"
)

// playLostAnswer makes half of twelve engines lose the answers of a few of the streams that they run.
func playLostAnswer(s *session) error {
	const (
		engines = 12
		events  = 100
		prompts = 2200                   // tokens
		apart   = 125 * time.Millisecond // between two requests
		lasts   = 40 * time.Second
		loses   = 5 // per cent
	)
	s.store.Put("op", "config", config(100))
	for n := range engines {
		options := runnerOptions{engine: true, work: 40 * time.Millisecond, slots: 24, keepCopies: true}
		if s.trouble && n%2 == 0 {
			options.loses = loses
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
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		running.Go(func() {
			id := fmt.Sprintf("5%015x", n)
			p := prompt{usage: fmt.Sprintf("%d,%d", prompts, events*4), prefix: fmt.Sprintf("5c1e07a2:350,%x:%d", sum(id), prompts-350)}
			s.ask(hosts[n%len(hosts)].front(), "POST", draftPrefix+"2f", id, 39*time.Second, []byte("{}"), p)
		})
		<-time.After(apart)
	}
	running.Wait()
	<-time.After(8 * time.Second) // runs whose answers were lost end
	s.judgeTwice()
	return nil
}
