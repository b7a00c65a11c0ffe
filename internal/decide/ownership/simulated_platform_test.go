package ownership

import "time"

// latency draws the latency of one message to or from the platform.
func (s *simulation) latency() time.Duration {
	limit := int64(200 * time.Millisecond)
	if s.anyActive(slowPlatform) {
		limit = int64(2 * time.Second)
	}
	return time.Duration(s.random.Int63n(limit))
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.events = append(s.events, event{at: s.now + delay, run: run})
}

func (s *simulation) respond(p *process, handle func(now time.Time) []Effect) {
	s.schedule(s.latency(), func() { p.inbox = append(p.inbox, handle) })
}

func (s *simulation) read(p *process, effect ReadRows) {
	s.schedule(s.latency(), func() {
		response := ReadResponse{ID: effect.ID, OK: s.reachesPlatform(p)}
		if response.OK && effect.Scope == ReadAll {
			s.table.readOwners(&response)
		}
		s.schedule(s.latency(), func() {
			if response.OK {
				s.table.readLeases(&response)
			}
			s.respond(p, func(now time.Time) []Effect { return p.machine.HandleRows(response, now) })
		})
	})
}

func (s *simulation) commit(p *process, effect CommitRows) {
	s.schedule(s.latency(), func() {
		outcome := Unavailable
		switch {
		case !s.reachesPlatform(p):
		case s.anyActive(lateWrites):
			outcome = Ambiguous
			s.schedule(time.Duration(s.random.Int63n(int64(20*time.Second))), func() { s.table.commit(effect) })
		case s.anyActive(lostResponses):
			outcome = Ambiguous
			s.table.commit(effect)
		default:
			outcome = s.table.commit(effect)
		}
		response := CommitResponse{ID: effect.ID, Outcome: outcome}
		s.respond(p, func(now time.Time) []Effect { return p.machine.HandleCommit(response, now) })
	})
}
