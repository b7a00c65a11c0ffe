package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// engines are all engines of a pool, and what they have run.
type engines struct {
	record *record
	mu     sync.Mutex
	runs   []*engineRun    // in the order of their begin
	copies map[string]bool // of runs, by the address of their holder and their handle
	// lossAfter is the time from the arrival of a request to the loss of its connection.
	lossAfter time.Duration
	// losesAnswer reports whether an engine loses the answer of the request that it has just got.
	losesAnswer func(engine string) bool
}

// takeCopy reports whether the engine at an address holds the copy that Kv-From names, which a request uses up.
func (p *engines) takeCopy(address, from string) bool {
	_, handle, _ := strings.Cut(from, "/")
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.copies[address+"/"+handle]
	delete(p.copies, address+"/"+handle)
	return held
}

// recordEvent records that a run has got to an event, and that the holder of its copy has it; empty for none.
func (p *engines) recordEvent(run *engineRun, event int64, holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.last = event
	if holder != "" {
		p.copies[holder+"/"+run.id] = true
	}
}

func (p *engines) begin(run *engineRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run)
	p.record.note("engine %s: %s begins to run", run.engine, run.id)
}

func (p *engines) end(run *engineRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if run.ended.IsZero() {
		run.ended = time.Now()
		p.record.note("engine %s: %s has ended", run.engine, run.id)
	}
}

// overlaps returns the requests that ran at an engine for longer than a time after they had begun at another one, with how
// long both worked on them.
func (p *engines) overlaps(most time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	byID, found := map[string][]*engineRun{}, []string{}
	for _, run := range p.runs {
		for _, before := range byID[run.id] {
			until := before.ended
			if until.IsZero() {
				until = time.Now()
			}
			if !run.ended.IsZero() && run.ended.Before(until) {
				until = run.ended
			}
			if both := until.Sub(run.began); before.engine != run.engine && both > most {
				found = append(found, fmt.Sprintf("%s ran at %s and at %s together for %d ms", run.id, before.engine, run.engine, both.Milliseconds()))
			}
		}
		byID[run.id] = append(byID[run.id], run)
	}
	return found
}
