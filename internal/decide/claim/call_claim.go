package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// handleFirstRead handles the row as read before any write.
func (c Call) handleFirstRead(event Event, now time.Time) (Call, []Effect) {
	if event.Kind != EventRead {
		return c.refuse(platformUnavailable())
	}
	if c.lastRead.claimable() {
		c.claimVersion = c.version
		c.phase = phaseTicket
		return c, []Effect{{Kind: EffectAcquire}}
	}
	return c.handleKeyInUse(now)
}

// handleKeyInUse answers a call whose key is in use.
func (c Call) handleKeyInUse(now time.Time) (Call, []Effect) {
	if c.lastRead.BodyHash != c.own.BodyHash {
		return c.refuse(keyConflict())
	}
	switch c.lastRead.State {
	case core.ClaimAnswered:
		c.phase = phaseDone
		return c, []Effect{{Kind: EffectReplay}}
	case core.ClaimSent, core.ClaimClaimed:
		if !now.Before(c.lastRead.ExpiresAt) {
			return c.takeOver()
		}
		return c.wait()
	}
	return c.refuse(outcomeUnknown())
}

// wait polls the row again after a pause, because most calls have their outcome soon.
func (c Call) wait() (Call, []Effect) {
	if c.waits == maxWaits {
		return c.refuse(inProgress())
	}
	pause := firstWait << c.waits
	c.waits++
	c.phase = phaseWaitRead
	return c, []Effect{{Kind: EffectRead, Wait: pause}}
}

// handleWaitRead handles the row of another call with the key. If the row is void or gone,
// the other call did not run. This call must not run either, because it arrived before the
// other caller was told "not run".
func (c Call) handleWaitRead(event Event, now time.Time) (Call, []Effect) {
	if event.Kind != EventRead {
		return c.refuse(platformUnavailable())
	}
	if !c.lastRead.claimable() {
		return c.handleKeyInUse(now)
	}
	c.refusal = concurrentRequest()
	return c.handleVoidRead(event, now)
}

// takeOver writes the final state of an expired claim. A call in state sent may have run. A
// call that was only claimed can no longer be sent once the row is void.
func (c Call) takeOver() (Call, []Effect) {
	record := c.lastRead
	record.State = core.ClaimUnknown
	if c.lastRead.State == core.ClaimClaimed {
		record.State = core.ClaimVoid
	}
	return c.write(phaseTakeoverWrite, record)
}

func (c Call) handleTakeoverWrite(event Event) (Call, []Effect) {
	if c.lastRead.State == core.ClaimClaimed && event.Kind == EventCommitted {
		return c.refuse(claimExpired())
	}
	return c.refuse(outcomeUnknown())
}

func (c Call) handleTicket(event Event, now time.Time) (Call, []Effect) {
	if event.Kind == EventGranted {
		return c.write(phaseClaimWrite, c.newRecord(core.ClaimSent, now))
	}
	c.refusal = event.Refusal
	return c.write(phaseVoidWrite, c.newRecord(core.ClaimVoid, now))
}

func (c Call) handleClaimWrite(event Event) (Call, []Effect) {
	switch event.Kind {
	case EventCommitted:
		return c.send()
	case EventNotApplied:
		c.refusal = claimNotAccepted()
		return c.read(phaseVoidRead)
	}
	return c.read(phaseClaimReadBack)
}

// handleClaimReadBack handles the row after the write of the claim conflicted or its response
// was lost. A write that may still be in flight is repeated: by compare-and-swap at most one
// of the two can take effect. A row that another call has made void meanwhile is not
// claimed, because that call's caller may have been told that nothing has run.
func (c Call) handleClaimReadBack(event Event, now time.Time) (Call, []Effect) {
	if event.Kind != EventRead {
		return c.read(phaseClaimReadBack)
	}
	if c.ownsRecord() && c.lastRead.State == core.ClaimSent {
		return c.send()
	}
	if c.lastRead.claimable() && c.version == c.claimVersion {
		return c.write(phaseClaimWrite, c.newRecord(core.ClaimSent, now))
	}
	c.refusal = concurrentRequest()
	return c.handleVoidRead(event, now)
}

func (c Call) send() (Call, []Effect) {
	c.phase = phaseSend
	return c, []Effect{{Kind: EffectSend}}
}

// handleVoidRead handles the row that is to become void. This call has sent nothing to the
// service, so it may make the row void if the key is claimable or the claim is its own.
func (c Call) handleVoidRead(event Event, now time.Time) (Call, []Effect) {
	if event.Kind != EventRead {
		return c.read(phaseVoidRead)
	}
	if c.ownsRecord() && c.lastRead.State == core.ClaimVoid {
		return c.refuse(c.refusal)
	}
	if c.lastRead.claimable() || c.ownsRecord() {
		return c.write(phaseVoidWrite, c.newRecord(core.ClaimVoid, now))
	}
	return c.handleKeyInUse(now)
}

func (c Call) handleVoidWrite(event Event) (Call, []Effect) {
	if event.Kind == EventCommitted {
		return c.refuse(c.refusal)
	}
	return c.read(phaseVoidRead)
}
