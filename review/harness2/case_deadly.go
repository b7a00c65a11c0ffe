package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playDeadly sends prompts of which one part crashes each engine that begins to answer them, among sound ones. All prompts are
// long sessions: their parts are many.
func playDeadly(s *session) error {
	const (
		engines   = 6
		events    = 60
		parts     = 20
		part      = "dead5eed"
		back      = 3 * time.Second
		contact   = 3 * time.Second
		mayArrive = 3
		lasts     = 60 * time.Second
		pause     = 200 * time.Millisecond // five requests a second, as the site has
	)
	position := 18 // of the deadly part, from one
	if text := os.Getenv("POSITION"); text != "" {
		position, _ = strconv.Atoi(text)
	}
	s.record.add("the deadly part is number %d of %d parts", position, parts)
	s.store.Put("op", "config", config(100))
	var mu sync.Mutex
	var crashes []time.Time
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range engines {
		options := runnerOptions{engine: true, work: 40 * time.Millisecond, slots: 24, keepCopies: true}
		if s.trouble {
			options.deadlyPart = part
		}
		t, err := s.startTarget(fmt.Sprintf("i-engine-%d", n+1), engineService, "oslo-a", "", options)
		if err != nil {
			return err
		}
		running.Go(func() { // starts a crashed engine again
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
	// prefix returns the parts of a prompt. The first one is shared, and the others are those of the request's session.
	prefix := func(id string, deadly bool) string {
		list := []string{"5c1e07a2:79"}
		for n := 2; n <= parts; n++ {
			text := fmt.Sprintf("%x:%d", sum(id+"/"+strconv.Itoa(n)), 2921/(parts-1))
			if deadly && n == position {
				text = part + ":150"
			}
			list = append(list, text)
		}
		return strings.Join(list, ",")
	}
	var sound, lost atomic.Int64
	usage := fmt.Sprintf("3000,%d", events*4)
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		deadly := n%5 == 4
		id := fmt.Sprintf("5%015x", n)
		if deadly {
			id = fmt.Sprintf("d%015x", n)
		}
		running.Go(func() {
			a := s.ask(hosts[n%len(hosts)].front(), "POST", draftPrefix+"2f", id, 20*time.Second, []byte("{}"), prompt{usage: usage, prefix: prefix(id, deadly)})
			if deadly {
				return
			}
			sound.Add(1)
			if a.status == 200 && a.err != nil {
				lost.Add(1)
			}
		})
		time.Sleep(pause)
	}
	close(stop)
	running.Wait()
	s.record.add("sound requests: %d, of which %d were cut off in their streams; crashes: %d", sound.Load(), lost.Load(), len(crashes))
	if len(crashes) < 5 {
		return nil
	}
	bound, arrived := crashes[4].Add(contact).UnixMilli(), 0
	s.mu.Lock()
	for id, byRunner := range s.work {
		for _, run := range byRunner {
			if strings.HasPrefix(id, "d") && run.began > bound {
				arrived++
			}
		}
	}
	s.mu.Unlock()
	s.record.add("requests with the deadly part that reached engines later than %v after the fifth crash: %d", contact, arrived)
	if arrived > mayArrive {
		s.violate("BUDGET: %d requests with the deadly part reached engines later than %v after the fifth crash; %d crashes in all", arrived, contact, len(crashes))
	}
	return nil
}
