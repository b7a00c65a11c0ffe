package fleet

import "siskintide.example/siskintide/internal/core"

// spendEvent asks for a second send.
type spendEvent struct {
	pool  core.PoolID
	reply chan<- bool // has room for the answer
}

func (e spendEvent) apply(s *state) {
	granted := s.ledger(e.pool).Spend(s.now(), len(s.hosts))
	if !granted {
		s.log.WithField("pool", e.pool).WithField("hosts", len(s.hosts)).Warn("share of second sends is used up")
	}
	e.reply <- granted
}
