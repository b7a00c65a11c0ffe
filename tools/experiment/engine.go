package main

import (
	"slices"
	"time"
)

const (
	engineMemory    = 30_000 // tokens
	engineWatermark = 300    // tokens kept free when a stream is taken in
	engineBatch     = 256    // streams in one step
	prefillPerStep  = 512    // tokens of prompts computed in one step

	stepBase       = 12 * time.Millisecond
	stepPerDecode  = 300 * time.Microsecond // added by each decoding stream
	stepPerPrefill = 40 * time.Microsecond  // added by each token of prompt
)

// engine batches continuously: every step it takes in waiting streams whose context
// fits, computes a part of their prompts, and produces a token for each of the others.
// When memory is full it preempts the stream taken in last, which later has to compute
// its context again.
type engine struct {
	simulation  *simulation
	waiting     []*stream
	running     []*stream // in the order in which they were taken in
	used        int       // tokens of memory
	busy        bool
	preemptions uint64
}

// outstanding returns the number of streams that the engine has to serve.
func (e *engine) outstanding() int { return len(e.waiting) + len(e.running) }

// submit queues a request.
func (e *engine) submit(r *request) {
	e.waiting = append(e.waiting, &stream{request: r})
	if !e.busy {
		e.startStep()
	}
}

func (e *engine) takeIn() {
	for len(e.waiting) > 0 && len(e.running) < engineBatch {
		next := e.waiting[0]
		if e.used+next.need()+engineWatermark > engineMemory {
			return
		}
		e.waiting = e.waiting[1:]
		next.held = next.need()
		next.prefillLeft = next.held
		e.used += next.held
		e.running = append(e.running, next)
	}
}

// startStep plans one step and schedules its end.
func (e *engine) startStep() {
	e.takeIn()
	e.makeRoom()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	decoding, budget := 0, prefillPerStep
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding++
			continue
		}
		part := min(s.prefillLeft, budget)
		s.prefillLeft -= part
		budget -= part
		if s.prefillLeft == 0 {
			s.prefillLeft = justPrefilled
		}
	}
	span := stepBase + time.Duration(decoding)*stepPerDecode + time.Duration(prefillPerStep-budget)*stepPerPrefill
	e.simulation.after(span, e.endStep)
}

// justPrefilled marks a stream whose prompt is complete at the end of the present step.
const justPrefilled = -1

// makeRoom preempts streams until each of the others can grow by a token.
func (e *engine) makeRoom() {
	for len(e.running) > 1 && e.used+len(e.running) > engineMemory {
		last := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.used -= last.held
		last.held = 0
		e.waiting = slices.Insert(e.waiting, 0, last)
		e.preemptions++
		e.simulation.measures.preempted(e.simulation.now)
	}
}

// endStep delivers the tokens of a step and starts the next.
func (e *engine) endStep() {
	var finished []*stream
	kept := e.running[:0]
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			kept = append(kept, s)
			continue
		}
		s.prefillLeft = 0
		s.output++
		s.held++
		e.used++
		e.simulation.token(s)
		if s.output >= s.request.output {
			e.used -= s.held
			finished = append(finished, s)
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	for _, s := range finished {
		e.simulation.finished(s.request)
	}
	e.startStep()
}
