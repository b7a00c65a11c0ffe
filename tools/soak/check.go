package main

import (
	"fmt"
	"strings"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	// noticeBound is the time after which a target that leaves gets no new work.
	noticeBound = 2 * time.Second
	// sightTime is how long after a fault that blinds hosts bounds in time hold again.
	sightTime = 3 * time.Second
	// mostPrinted bounds the broken promises that are printed.
	mostPrinted = 20
)

// check holds the account of the targets against what callers were told.
func (w *world) check(calm, end time.Time) {
	served, asked := 0, 0
	for _, made := range w.sent {
		w.checkRuns(made)
		if made.at.After(calm) && made.at.Before(end.Add(-2*time.Second)) && w.inForce(made.key) {
			asked++
			if made.kind == answerWhole {
				served++
			}
		}
	}
	if asked == 0 || float64(served) < calmShare*float64(asked) {
		w.broken("%d of %d requests served after the faults", served, asked)
	}
	for _, h := range w.hosts {
		if h.exits > 0 {
			w.broken("%s ended %d times by itself", h.boot.Node, h.exits)
		}
	}
}

func (w *world) inForce(key string) bool {
	_, revoked := w.revoked[key]
	return !revoked
}

// checkRuns checks one request against its runs.
func (w *world) checkRuns(made *sent) {
	begun, runs := w.account.StartCount(made.id), w.account.Runs(made.id)
	if made.once && begun > 1 {
		w.broken("request %s was begun %d times", made.id, begun)
	}
	if made.kind == answerRefused && made.once && begun > 0 {
		w.broken("request %s was refused as not run, and ran", made.id)
	}
	if at, ok := w.revoked[made.key]; ok && begun > 0 && made.at.Sub(at) > platformtest.BootRevokeMS*time.Millisecond {
		w.broken("request %s ran with a key that was revoked %s before", made.id, made.at.Sub(at))
	}
	for _, run := range runs {
		if left, ok := w.leaving[run.Runner]; ok && run.ResumedAfter < 0 && run.Started.Sub(left) > noticeBound && w.sighted(left, run.Started) {
			w.broken("request %s was sent to %s %s after its notice", made.id, run.Runner, run.Started.Sub(left))
		}
	}
	if made.stream && w.sighted(made.at, made.ended) && len(w.account.Overlaps(made.id)) > 0 {
		w.broken("request %s ran at two targets at once", made.id)
	}
}

// sighted reports whether no fault blinded a host around a time.
func (w *world) sighted(from, to time.Time) bool {
	for _, s := range w.blind {
		if s.begun.Before(to) && s.ended.Add(sightTime).After(from) {
			return false
		}
	}
	return true
}

// report prints what was seen and returns the exit status.
func (w *world) report() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[answerKind]int{}
	for _, made := range w.sent {
		counts[made.kind]++
	}
	fmt.Printf("seed %d: %d faults, %d requests: %d whole, %d refused, %d failed; %d promises broken\n", w.options.Seed, len(w.faults),
		len(w.sent), counts[answerWhole], counts[answerRefused], counts[answerFailed], len(w.wrong))
	if len(w.wrong) == 0 {
		return 0
	}
	fmt.Printf("faults: %s\nlogs: %s\n", strings.Join(w.faults, "; "), w.dir)
	for i, text := range w.wrong {
		if i == mostPrinted {
			break
		}
		fmt.Println("broken:", text)
	}
	return 1
}
