package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playHold brings a new shared part of prompts into use. Half of its first requests have a further part that crashes engines, and
// few of the later ones.
func playHold(s *session) error {
	const (
		engines = 6
		events  = 60
		wave    = 24
		apart   = 25 * time.Millisecond // between two requests of the wave
		eachOf  = 2                     // requests of the wave, one has the deadly part
		deadly  = "dead5eed"
		oldPart = "5c1e07a2"
		newPart = "77aa01c3"
		back    = 3 * time.Second
		contact = 3 * time.Second
		lasts   = 30 * time.Second
		least   = 20
	)
	s.store.Put("op", "config", config(100))
	var mu sync.Mutex
	var crashes []time.Time
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range engines {
		options := runnerOptions{engine: true, work: 40 * time.Millisecond, slots: 24, keepCopies: true}
		if s.trouble {
			options.deadlyPart = deadly
		}
		t, err := s.startTarget(fmt.Sprintf("i-engine-%d", n+1), engineService, "oslo-a", "", options)
		if err != nil {
			return err
		}
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-t.process.exited:
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				s.record.add("crash %d: %s", len(crashes), t.options.id)
				mu.Unlock()
				time.Sleep(back)
				if err := t.start(); err != nil {
					s.record.add("engine does not start: %v", err)
					return
				}
			}
		})
	}
	hosts, err := s.startHosts("oslo-a", "oslo-a")
	if err != nil {
		return err
	}
	var requests sync.WaitGroup
	// send sends a request, and reports whether its stream has begun.
	send := func(id, prefix string, tokens, n int, ended func(began bool)) {
		requests.Go(func() {
			p := prompt{usage: fmt.Sprintf("%d,%d", tokens, events*4), prefix: prefix}
			a := s.ask(hosts[n%len(hosts)].front(), "POST", draftPrefix+"2f", id, 20*time.Second, []byte("{}"), p)
			ended(a.status == 200 && a.signed && a.body != "")
		})
	}
	sound := func(id, part string) string { return fmt.Sprintf("%s:79,%x:2921", part, sum(id)) }
	ignore := func(bool) {}
	var before, begunBefore, after, begunAfter atomic.Int64
	for n := range 30 { // an older part is in use
		id := fmt.Sprintf("a%015x", n)
		before.Add(1)
		send(id, sound(id, oldPart), 3000, n, func(began bool) {
			if began {
				begunBefore.Add(1)
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	requests.Wait()
	s.record.add("the new part is in use from now on")
	next := 0
	sendDeadly := func() {
		next++
		id := fmt.Sprintf("d%015x", next)
		send(id, fmt.Sprintf("%s:79,%s:150,%x:2771", newPart, deadly, sum(id)), 3000, next, ignore)
	}
	for n := range wave {
		if n%eachOf == 0 {
			sendDeadly()
		} else {
			id := fmt.Sprintf("b%015x", n)
			send(id, sound(id, newPart), 3000, n, ignore)
		}
		time.Sleep(apart)
	}
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		time.Sleep(250 * time.Millisecond)
		if n%8 == 7 {
			sendDeadly()
		}
		mu.Lock()
		judged := !s.trouble || len(crashes) > 0 && time.Since(crashes[min(len(crashes), 5)-1]) > 2*contact
		mu.Unlock()
		id := fmt.Sprintf("c%015x", n)
		if judged {
			after.Add(1)
		}
		send(id, sound(id, newPart), 3000, n, func(began bool) {
			if judged && began {
				begunAfter.Add(1)
			}
		})
	}
	requests.Wait()
	close(stop)
	running.Wait()
	s.record.add("crashes: %d; sound requests before: %d, begun: %d; from twice contact-ms after the fifth or last crash: %d, begun: %d",
		len(crashes), before.Load(), begunBefore.Load(), after.Load(), begunAfter.Load())
	if before.Load() < least || after.Load() < least {
		return fmt.Errorf("too few requests to judge: %d before, %d after", before.Load(), after.Load())
	}
	if 2*begunAfter.Load()*before.Load() < begunBefore.Load()*after.Load() {
		s.violate("LOST: of %d sound requests with the key and first part of those that crash engines %d began, of %d before %d", after.Load(), begunAfter.Load(), before.Load(), begunBefore.Load())
	}
	return nil
}
