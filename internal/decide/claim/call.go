package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxPlatformSteps bounds the platform reads and writes before the caller is answered.
	maxPlatformSteps = 10
	// maxOutcomeSteps bounds the platform reads and writes that record the outcome.
	maxOutcomeSteps = 6
	// maxWaits bounds how often a call polls for the outcome of another call with its key:
	// 3.1 s in total.
	maxWaits = 5
	// firstWait is the wait before the first poll; it doubles for each further one.
	firstWait = 100 * time.Millisecond
	// retryInProgress is when a caller may retry while a call with the key is running.
	retryInProgress = time.Second
	// retryPlatform is when a caller may retry while the platform is unavailable.
	retryPlatform = 5 * time.Second
)

// Call is the decision state of one call with an idempotency key. It is immutable.
type Call struct {
	phase        phase
	own          Record // as this call writes it, except for state and expiry
	lifetime     time.Duration
	claimVersion uint64 // version of the first read: the only one that this call may replace by its claim
	version      uint64 // version read last, which the next write replaces
	lastRead     Record // record that was read last
	outcome      core.ClaimState
	refusal      *core.Refusal // answer to the caller once the row is void
	steps        int
	waits        int
}

// New returns the state of a new call and its first effect. lifetime is the service's
// timeout with a margin for the clock difference between hosts.
func New(claimant core.HostID, attempt core.GenerationID, bodyHash [16]byte, lifetime time.Duration) (Call, Effect) {
	own := Record{Claimant: claimant, Attempt: attempt, BodyHash: bodyHash}
	return Call{phase: phaseFirstRead, own: own, lifetime: lifetime}, Effect{Kind: EffectRead}
}

// Done reports whether the call has no more steps.
func (c Call) Done() bool { return c.phase == phaseDone }

// Step handles one event and returns the resulting effects.
func (c Call) Step(event Event, now time.Time) (Call, []Effect) {
	if event.Kind == EventRead {
		c.version, c.lastRead = event.Version, event.Record
	}
	switch c.phase {
	case phaseFirstRead:
		return c.handleFirstRead(event, now)
	case phaseWaitRead:
		return c.handleWaitRead(event, now)
	case phaseTicket:
		return c.handleTicket(event, now)
	case phaseClaimWrite:
		return c.handleClaimWrite(event)
	case phaseClaimReadBack:
		return c.handleClaimReadBack(event, now)
	case phaseSend:
		return c.handleSend(event)
	case phaseVoidRead:
		return c.handleVoidRead(event, now)
	case phaseVoidWrite:
		return c.handleVoidWrite(event)
	case phaseOutcomeRead:
		return c.handleOutcomeRead(event, now)
	case phaseOutcomeWrite:
		return c.handleOutcomeWrite(event)
	case phaseTakeoverWrite:
		return c.handleTakeoverWrite(event)
	}
	return c, nil
}

// newRecord returns the record that this call writes in the given state.
func (c Call) newRecord(state core.ClaimState, now time.Time) Record {
	record := c.own
	record.State = state
	record.ExpiresAt = now.Add(c.lifetime)
	return record
}

// ownsRecord reports whether the record read last was written by this call.
func (c Call) ownsRecord() bool { return c.lastRead.State != "" && c.lastRead.Attempt == c.own.Attempt }

// read reads the row, or refuses the call when maxPlatformSteps is exceeded.
func (c Call) read(next phase) (Call, []Effect) {
	c.steps++
	if c.steps > maxPlatformSteps {
		return c.refuse(platformUnavailable())
	}
	c.phase = next
	return c, []Effect{{Kind: EffectRead}}
}

func (c Call) write(next phase, record Record) (Call, []Effect) {
	c.steps++
	if c.steps > maxPlatformSteps {
		return c.refuse(platformUnavailable())
	}
	c.phase = next
	return c, []Effect{{Kind: EffectWrite, Version: c.version, Record: record}}
}

// refuse ends the call with a refusal.
func (c Call) refuse(refusal *core.Refusal) (Call, []Effect) {
	c.phase = phaseDone
	return c, []Effect{{Kind: EffectRefuse, Refusal: refusal}}
}
