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
// long sessions: their parts are many. POSITION puts the deadly part elsewhere.
func playDeadly(s *session) error {
	const (
		engines   = 6
		events    = 60
		parts     = 20
		mayArrive = 3
		lasts     = 60 * time.Second
		pause     = 200 * time.Millisecond // five requests a second, as the site has
		eachOf    = 5                      // requests, one has the deadly part
	)
	position := 18 // of the deadly part, from one
	if text := os.Getenv("POSITION"); text != "" {
		position, _ = strconv.Atoi(text)
	}
	s.record.add("the deadly part is number %d of %d parts", position, parts)
	s.store.Put("op", "config", config(100))
	crashing, err := s.startCrashingEngines(engines)
	if err != nil {
		return err
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
				text = deadlyPart + ":150"
			}
			list = append(list, text)
		}
		return strings.Join(list, ",")
	}
	var requests sync.WaitGroup
	var sound, lost atomic.Int64
	usage := fmt.Sprintf("3000,%d", events*4)
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		deadly := n%eachOf == eachOf-1
		id := fmt.Sprintf("5%015x", n)
		if deadly {
			id = fmt.Sprintf("d%015x", n)
		}
		requests.Go(func() {
			a := s.ask(hosts[n%len(hosts)].front(), "POST", draftPrefix+"2f", id, 20*time.Second, []byte("{}"), prompt{usage: usage, prefix: prefix(id, deadly)})
			if deadly {
				return
			}
			sound.Add(1)
			if a.status == 200 && a.err != nil {
				lost.Add(1)
			}
		})
		<-time.After(pause)
	}
	requests.Wait()
	crashing.end()
	s.record.add("sound requests: %d, of which %d were cut off in their streams; crashes: %d", sound.Load(), lost.Load(), crashing.count())
	fifth, _ := crashing.judgedFrom()
	if crashing.count() < judgedCrashes {
		return nil
	}
	arrived := s.runsAfter("d", fifth.Add(contact))
	s.record.add("requests with the deadly part that reached engines later than %v after the fifth crash: %d", contact, arrived)
	if arrived > mayArrive {
		s.violate("BUDGET: %d requests with the deadly part reached engines later than %v after the fifth crash; %d crashes in all", arrived, contact, crashing.count())
	}
	return nil
}
