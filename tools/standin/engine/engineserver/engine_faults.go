package engineserver

import "siskintide.example/siskintide/tools/standin/fault"

// fault shows a fault at once, or from now on.
func (e *engine) fault(order fault.Spec) {
	now := e.clock.Now()
	switch order.Kind {
	case FaultKill:
		e.downUntil = now.Add(order.Duration())
		e.crash()
	case FaultExit:
		e.exit()
	case FaultFreeze:
		e.freeze(order)
	case FaultReclaim:
		e.leaving = true
		if order.DelayMS > 0 {
			e.exitAt = now.Add(order.Delay())
		}
	case FaultCold:
		e.warmth = warmth{}
		e.cache.flush(now)
	case FaultColdSilent:
		e.warmth = warmth{}
	case fault.Clear:
		e.clearFaults(order)
	default:
		e.faults.Apply(order, now)
	}
}

// freeze stops everything for a time, or until faults are cleared.
func (e *engine) freeze(order fault.Spec) {
	if e.thaw == nil {
		e.thaw = make(chan struct{})
	}
	e.thawAt = noTime
	if order.DurationMS > 0 {
		e.thawAt = e.clock.Now().Add(order.Duration())
	}
}

// clearFaults ends all faults that have an end.
func (e *engine) clearFaults(order fault.Spec) {
	e.faults.Apply(order, e.clock.Now())
	e.downUntil = noTime
	e.leaving = false
	e.exitAt = noTime
	if e.thaw != nil {
		e.unfreeze()
	}
}
