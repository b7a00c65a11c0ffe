package main

import (
	"slices"
	"time"
)

const (
	engineMemory         = 30_000 // tokens
	engineWatermark      = 300    // tokens kept free when a stream is admitted
	maxBatchStreams      = 256    // most streams in one step
	prefillTokensPerStep = 512    // most tokens of context computed in one step

	stepBase       = 12 * time.Millisecond
	stepPerDecode  = 300 * time.Microsecond // added by each decoding stream
	stepPerPrefill = 40 * time.Microsecond  // added by each token of context computed
)

// engine simulates a model engine with continuous batching. In each step it admits waiting
// streams whose context fits into memory, computes a chunk of the context of streams in
// prefill, and produces a token for each of the other streams. When memory is exhausted, it
// preempts the stream admitted last, which later has to compute its context again.
type engine struct {
	simulation  *simulation
	waiting     []*stream
	running     []*stream // in order of admission
	memoryUsed  int       // tokens of memory held by running streams
	busy        bool      // a step is in progress
	preemptions uint64
}

// outstanding returns the number of waiting and running streams.
func (e *engine) outstanding() int { return len(e.waiting) + len(e.running) }

// submit queues a request and starts a step if the engine is idle.
func (e *engine) submit(r *request) {
	e.waiting = append(e.waiting, &stream{request: r})
	if !e.busy {
		e.startStep()
	}
}

// admit moves waiting streams to the running streams, in order, as long as their context and
// the watermark fit into memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < maxBatchStreams {
		next := e.waiting[0]
		if e.memoryUsed+next.contextTokens()+engineWatermark > engineMemory {
			return
		}
		e.waiting = e.waiting[1:]
		next.memoryHeld = next.contextTokens()
		next.prefillLeft = next.memoryHeld
		e.memoryUsed += next.memoryHeld
		e.running = append(e.running, next)
	}
}

// startStep plans one step and schedules its end.
func (e *engine) startStep() {
	e.admit()
	e.preempt()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	decoding, prefillBudget := 0, prefillTokensPerStep
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding++
			continue
		}
		chunk := min(s.prefillLeft, prefillBudget)
		s.prefillLeft -= chunk
		prefillBudget -= chunk
		if s.prefillLeft == 0 {
			s.prefillLeft = justPrefilled
		}
	}
	duration := stepBase + time.Duration(decoding)*stepPerDecode + time.Duration(prefillTokensPerStep-prefillBudget)*stepPerPrefill
	e.simulation.schedule(duration, e.endStep)
}

// justPrefilled marks a stream whose context is complete at the end of the current step.
const justPrefilled = -1

// preempt preempts the streams admitted last until each remaining stream can grow by a
// token. At least one stream keeps running.
func (e *engine) preempt() {
	for len(e.running) > 1 && e.memoryUsed+len(e.running) > engineMemory {
		victim := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.memoryUsed -= victim.memoryHeld
		victim.memoryHeld = 0
		e.waiting = slices.Insert(e.waiting, 0, victim)
		e.preemptions++
		e.simulation.metrics.recordPreemption(e.simulation.now)
	}
}

// endStep delivers the tokens of the step and starts the next one.
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
		s.memoryHeld++
		e.memoryUsed++
		e.simulation.deliverToken(s)
		if s.output >= s.request.output {
			e.memoryUsed -= s.memoryHeld
			finished = append(finished, s)
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	for _, s := range finished {
		e.simulation.finish(s.request)
	}
	e.startStep()
}
