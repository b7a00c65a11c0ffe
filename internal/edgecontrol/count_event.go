package edgecontrol

import "siskintide.example/siskintide/internal/core"

// countEvent notes one request of a caller, which earns a share of a second send.
type countEvent struct {
	pool core.PoolID
}

func (e countEvent) apply(s *state) { s.ledger(e.pool).RecordRequest(s.now()) }
