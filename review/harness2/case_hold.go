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
		earlier = 30                    // requests with the older part
		pause   = 250 * time.Millisecond
		later   = 8 // sound requests for one with the deadly part, after the wave
		oldPart = "5c1e07a2"
		newPart = "77aa01c3"
		lasts   = 30 * time.Second
		least   = 20 // requests of either kind that are needed to judge
	)
	s.store.Put("op", "config", config(100))
	crashing, err := s.startCrashingEngines(engines)
	if err != nil {
		return err
	}
	hosts, err := s.startHosts("oslo-a", "oslo-a")
	if err != nil {
		return err
	}
	var requests sync.WaitGroup
	// send sends a request, and counts it if its stream begins.
	send := func(id, prefix string, n int, begun *atomic.Int64) {
		requests.Go(func() {
			p := prompt{usage: fmt.Sprintf("3000,%d", events*4), prefix: prefix}
			a := s.ask(hosts[n%len(hosts)].front(), "POST", draftPrefix+"2f", id, 20*time.Second, []byte("{}"), p)
			if begun != nil && a.status == 200 && a.signed && a.body != "" {
				begun.Add(1)
			}
		})
	}
	sound := func(id, part string) string { return fmt.Sprintf("%s:79,%x:2921", part, sum(id)) }
	deadlies := 0
	sendDeadly := func() {
		deadlies++
		id := fmt.Sprintf("d%015x", deadlies)
		send(id, fmt.Sprintf("%s:79,%s:150,%x:2771", newPart, deadlyPart, sum(id)), deadlies, nil)
	}
	var begunBefore, begunAfter atomic.Int64
	for n := range earlier {
		id := fmt.Sprintf("a%015x", n)
		send(id, sound(id, oldPart), n, &begunBefore)
		<-time.After(pause)
	}
	requests.Wait()
	s.record.add("the new part is in use from now on")
	for n := range wave {
		if n%eachOf == 0 {
			sendDeadly()
		} else {
			id := fmt.Sprintf("b%015x", n)
			send(id, sound(id, newPart), n, nil)
		}
		<-time.After(apart)
	}
	after := int64(0)
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		<-time.After(pause)
		if n%later == later-1 {
			sendDeadly()
		}
		id := fmt.Sprintf("c%015x", n)
		from, crashed := crashing.judgedFrom()
		if s.trouble && (!crashed || time.Since(from) <= 2*contact) {
			send(id, sound(id, newPart), n, nil)
			continue
		}
		after++
		send(id, sound(id, newPart), n, &begunAfter)
	}
	requests.Wait()
	crashing.end()
	s.record.add("crashes: %d; sound requests before: %d, begun: %d; from twice contact-ms after the fifth or last crash: %d, begun: %d",
		crashing.count(), earlier, begunBefore.Load(), after, begunAfter.Load())
	if after < least {
		return fmt.Errorf("too few requests to judge: %d", after)
	}
	if 2*begunAfter.Load()*earlier < begunBefore.Load()*after {
		s.violate("LOST: of %d sound requests with the key and first part of those that crash engines %d began, of %d before %d", after, begunAfter.Load(), earlier, begunBefore.Load())
	}
	return nil
}
