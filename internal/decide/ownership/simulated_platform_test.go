package ownership

import "time"

// latency draws the time of one way to or from the platform.
func (w *world) latency() time.Duration {
	limit := int64(200 * time.Millisecond)
	if w.anywhere(slowPlatform) {
		limit = int64(2 * time.Second)
	}
	return time.Duration(w.random.Int63n(limit))
}

func (w *world) later(delay time.Duration, run func()) {
	w.arrivals = append(w.arrivals, arrival{at: w.at + delay, run: run})
}

func (w *world) answer(p *process, handle func(now time.Time) []Effect) {
	w.later(w.latency(), func() { p.inbox = append(p.inbox, handle) })
}

func (w *world) read(p *process, effect ReadRows) {
	w.later(w.latency(), func() {
		answer := ReadResponse{ID: effect.ID, OK: w.reachesPlatform(p)}
		if answer.OK && effect.Scope == ReadAll {
			w.table.readOwners(&answer)
		}
		w.later(w.latency(), func() {
			if answer.OK {
				w.table.readLeases(&answer)
			}
			w.answer(p, func(now time.Time) []Effect { return p.machine.HandleRows(answer, now) })
		})
	})
}

func (w *world) commit(p *process, effect CommitRows) {
	w.later(w.latency(), func() {
		outcome := Unavailable
		switch {
		case !w.reachesPlatform(p):
		case w.anywhere(lateWrites):
			outcome = Ambiguous
			w.later(time.Duration(w.random.Int63n(int64(20*time.Second))), func() { w.table.commit(effect) })
		case w.anywhere(lostAnswers):
			outcome = Ambiguous
			w.table.commit(effect)
		default:
			outcome = w.table.commit(effect)
		}
		answer := CommitResponse{ID: effect.ID, Outcome: outcome}
		w.answer(p, func(now time.Time) []Effect { return p.machine.HandleCommit(answer, now) })
	})
}
