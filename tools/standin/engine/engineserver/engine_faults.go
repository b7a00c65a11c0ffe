package engineserver

import "siskintide.example/siskintide/tools/standin/fault"

// applyFault carries out a one-time fault, or enables a lasting one.
func (e *engine) applyFault(spec fault.Spec) {
	now := e.clock.Now()
	switch spec.Kind {
	case FaultKill:
		e.downUntil = now.Add(spec.Duration())
		e.crash()
	case FaultExit:
		e.exit()
	case FaultFreeze:
		e.freeze(spec)
	case FaultReclaim:
		e.leaving = true
		if spec.DelayMS > 0 {
			e.exitAt = now.Add(spec.Delay())
		}
	case FaultCold:
		e.warmState = warmState{}
		e.cache.flush(now)
	case FaultColdSilent:
		e.warmState = warmState{}
	case fault.Clear:
		e.clearFaults(spec)
	default:
		e.faults.Apply(spec, now)
	}
}

// freeze suspends all processing for a time, or until faults are cleared.
func (e *engine) freeze(spec fault.Spec) {
	if e.thawed == nil {
		e.thawed = make(chan struct{})
	}
	e.thawAt = noTime
	if spec.DurationMS > 0 {
		e.thawAt = e.clock.Now().Add(spec.Duration())
	}
}

// clearFaults ends all lasting faults, including the down time after a crash and a
// scheduled exit.
func (e *engine) clearFaults(spec fault.Spec) {
	e.faults.Apply(spec, e.clock.Now())
	e.downUntil = noTime
	e.leaving = false
	e.exitAt = noTime
	if e.thawed != nil {
		e.unfreeze()
	}
}
