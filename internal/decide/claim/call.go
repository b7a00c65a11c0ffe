package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxPlatformSteps bounds the reads and writes before the caller is answered.
	maxPlatformSteps = 10
	// maxRecordSteps bounds the reads and writes that record an outcome.
	maxRecordSteps = 6
	// maxWaits bounds how often a call looks for the outcome of another one with its key:
	// 3.1 s in all.
	maxWaits = 5
	// firstWait is the wait before the first look, doubled by each further one.
	firstWait = 100 * time.Millisecond
	// retryInProgress is when a caller may ask again for a call that still runs.
	retryInProgress = time.Second
	// retryPlatform is when a caller may try again while the platform is away.
	retryPlatform = 5 * time.Second
)

// Call is the decision state of one call with a key. It is immutable.
type Call struct {
	phase   phase
	own     Record // as this call writes it, but for state and time
	lasting time.Duration
	base    uint64 // version read first: the only one that this call may replace by its claim
	version uint64 // version that the next write replaces
	seen    Record // record read last
	outcome core.ClaimState
	refusal *core.Refusal // what to say once the row is void
	steps   int
	waits   int
}

// New returns the state of a call that has not begun and its first effect. The duration
// is the service's timeout with a margin for clocks that differ between hosts.
func New(claimant core.HostID, attempt core.GenerationID, bodyHash [16]byte, lasting time.Duration) (Call, Effect) {
	own := Record{Claimant: claimant, Attempt: attempt, BodyHash: bodyHash}
	return Call{phase: phaseReading, own: own, lasting: lasting}, Effect{Kind: EffectRead}
}

// Done reports whether nothing is left to do.
func (c Call) Done() bool { return c.phase == phaseDone }

// Step takes one event and returns what is to be done.
func (c Call) Step(event Event, now time.Time) (Call, []Effect) {
	if event.Kind == EventRead {
		c.version, c.seen = event.Version, event.Record
	}
	switch c.phase {
	case phaseReading:
		return c.reading(event, now)
	case phaseWaiting:
		return c.waiting(event, now)
	case phaseAcquiring:
		return c.acquiring(event, now)
	case phaseClaiming:
		return c.claiming(event)
	case phaseConfirming:
		return c.confirming(event, now)
	case phaseSending:
		return c.sending(event)
	case phaseVoidRead:
		return c.voidRead(event, now)
	case phaseVoiding:
		return c.voiding(event)
	case phaseRecordRead:
		return c.recordRead(event, now)
	case phaseRecording:
		return c.recording(event)
	case phaseTakeover:
		return c.tookOver(event)
	}
	return c, nil
}

// record returns the row that this call writes in the given state.
func (c Call) record(state core.ClaimState, now time.Time) Record {
	record := c.own
	record.State = state
	record.ExpiresAt = now.Add(c.lasting)
	return record
}

// mine reports whether the record read last was written by this call.
func (c Call) mine() bool { return c.seen.State != "" && c.seen.Attempt == c.own.Attempt }

// read asks for the row, or gives up when the platform has been asked often enough.
func (c Call) read(next phase) (Call, []Effect) {
	c.steps++
	if c.steps > maxPlatformSteps {
		return c.refuse(platformAway())
	}
	c.phase = next
	return c, []Effect{{Kind: EffectRead}}
}

func (c Call) write(next phase, record Record) (Call, []Effect) {
	c.steps++
	if c.steps > maxPlatformSteps {
		return c.refuse(platformAway())
	}
	c.phase = next
	return c, []Effect{{Kind: EffectWrite, Version: c.version, Record: record}}
}

// refuse ends the call with a refusal.
func (c Call) refuse(refusal *core.Refusal) (Call, []Effect) {
	c.phase = phaseDone
	return c, []Effect{{Kind: EffectRefuse, Refusal: refusal}}
}
