package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// reading takes the row before anything was written.
func (c Call) reading(event Event, now time.Time) (Call, []Effect) {
	if event.Kind != EventRead {
		return c.refuse(platformAway())
	}
	if c.seen.free() {
		c.base = c.version
		c.phase = phaseAcquiring
		return c, []Effect{{Kind: EffectAcquire}}
	}
	return c.occupied(now)
}

// occupied answers a call whose key is in use.
func (c Call) occupied(now time.Time) (Call, []Effect) {
	if c.seen.BodyHash != c.own.BodyHash {
		return c.refuse(keyConflict())
	}
	switch c.seen.State {
	case core.ClaimAnswered:
		c.phase = phaseDone
		return c, []Effect{{Kind: EffectReplay}}
	case core.ClaimSent, core.ClaimClaimed:
		if !now.Before(c.seen.ExpiresAt) {
			return c.takeOver()
		}
		return c.wait()
	}
	return c.refuse(outcomeUnknown())
}

// wait looks again a little later: most calls have their outcome soon.
func (c Call) wait() (Call, []Effect) {
	if c.waits == maxWaits {
		return c.refuse(inProgress())
	}
	pause := firstWait << c.waits
	c.waits++
	c.phase = phaseWaiting
	return c, []Effect{{Kind: EffectRead, Wait: pause}}
}

// waiting takes the row of another call with the key. If that call did not run, this one
// does not either: it came before the other's caller was told so.
func (c Call) waiting(event Event, now time.Time) (Call, []Effect) {
	if event.Kind != EventRead {
		return c.refuse(platformAway())
	}
	if !c.seen.free() {
		return c.occupied(now)
	}
	c.refusal = overtaken()
	return c.voidRead(event, now)
}

// takeOver settles the row of a claimant that has not answered in time. A call that was
// sent may have run; one that was only claimed cannot be sent once the row is void.
func (c Call) takeOver() (Call, []Effect) {
	settled := c.seen
	settled.State = core.ClaimUnknown
	if c.seen.State == core.ClaimClaimed {
		settled.State = core.ClaimVoid
	}
	return c.write(phaseTakeover, settled)
}

func (c Call) tookOver(event Event) (Call, []Effect) {
	if c.seen.State == core.ClaimClaimed && event.Kind == EventCommitted {
		return c.refuse(claimantGone())
	}
	return c.refuse(outcomeUnknown())
}

func (c Call) acquiring(event Event, now time.Time) (Call, []Effect) {
	if event.Kind == EventGranted {
		return c.write(phaseClaiming, c.record(core.ClaimSent, now))
	}
	c.refusal = event.Refusal
	return c.write(phaseVoiding, c.record(core.ClaimVoid, now))
}

func (c Call) claiming(event Event) (Call, []Effect) {
	switch event.Kind {
	case EventCommitted:
		return c.send()
	case EventNotApplied:
		c.refusal = platformRefusedClaim()
		return c.read(phaseVoidRead)
	}
	return c.read(phaseConfirming)
}

// confirming takes the row after the write of the claim conflicted or its answer was
// lost. A write that may still be under way is repeated: at most one of the two can take
// effect. A row that somebody has made void meanwhile is not claimed, because a caller
// may have been told on the strength of it that nothing has run.
func (c Call) confirming(event Event, now time.Time) (Call, []Effect) {
	if event.Kind != EventRead {
		return c.read(phaseConfirming)
	}
	if c.mine() && c.seen.State == core.ClaimSent {
		return c.send()
	}
	if c.seen.free() && c.version == c.base {
		return c.write(phaseClaiming, c.record(core.ClaimSent, now))
	}
	c.refusal = overtaken()
	return c.voidRead(event, now)
}

func (c Call) send() (Call, []Effect) {
	c.phase = phaseSending
	return c, []Effect{{Kind: EffectSend}}
}

// voidRead takes the row in order to make it void. A row that this call has not sent on
// may become void if it is free or this call's own.
func (c Call) voidRead(event Event, now time.Time) (Call, []Effect) {
	if event.Kind != EventRead {
		return c.read(phaseVoidRead)
	}
	if c.mine() && c.seen.State == core.ClaimVoid {
		return c.refuse(c.refusal)
	}
	if c.seen.free() || c.mine() {
		return c.write(phaseVoiding, c.record(core.ClaimVoid, now))
	}
	return c.occupied(now)
}

func (c Call) voiding(event Event) (Call, []Effect) {
	if event.Kind == EventCommitted {
		return c.refuse(c.refusal)
	}
	return c.read(phaseVoidRead)
}
