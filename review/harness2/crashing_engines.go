package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// deadlyPart is the part of prompts that crashes engines.
	deadlyPart = "dead5eed"
	// engineBack is the time after which a crashed engine is started again.
	engineBack = 3 * time.Second
	// contact is the bound contact-ms.
	contact = 3 * time.Second
	// judgedCrashes is the number of crashes after which a part must be held back.
	judgedCrashes = 5
)

// crashingEngines are engines that crash under deadlyPart and are started again. They are safe for concurrent use.
type crashingEngines struct {
	session *session
	done    chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
}

// startCrashingEngines starts a number of engines. Without trouble no part crashes them.
func (s *session) startCrashingEngines(count int) (*crashingEngines, error) {
	e := &crashingEngines{session: s, done: make(chan struct{})}
	options := runnerOptions{engine: true, work: 40 * time.Millisecond, slots: 24, keepCopies: true}
	if s.trouble {
		options.deadlyPart = deadlyPart
	}
	for n := range count {
		t, err := s.startTarget(fmt.Sprintf("i-engine-%d", n+1), engineService, "oslo-a", "", options)
		if err != nil {
			return nil, err
		}
		e.running.Go(func() { e.keepStarted(t) })
	}
	return e, nil
}

// keepStarted starts an engine again whenever it has crashed.
func (e *crashingEngines) keepStarted(t *target) {
	for {
		select {
		case <-e.done:
			return
		case <-t.process.exited:
		}
		e.mu.Lock()
		e.crashes = append(e.crashes, time.Now())
		e.session.record.add("crash %d: %s", len(e.crashes), t.options.id)
		e.mu.Unlock()
		<-time.After(engineBack)
		if err := t.start(); err != nil {
			e.session.record.add("engine does not start: %v", err)
			return
		}
	}
}

// count returns the number of crashes.
func (e *crashingEngines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashes)
}

// judgedFrom returns the time of the fifth crash, or of the last one if there are fewer. It returns false if there is none.
func (e *crashingEngines) judgedFrom() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) == 0 {
		return time.Time{}, false
	}
	return e.crashes[min(len(e.crashes), judgedCrashes)-1], true
}

// end stops starting engines again.
func (e *crashingEngines) end() {
	close(e.done)
	e.running.Wait()
}
