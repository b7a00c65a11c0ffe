package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// sending takes the service's side of the call.
func (c Call) sending(event Event) (Call, []Effect) {
	switch event.Kind {
	case EventUnsent:
		c.refusal = event.Refusal
		return c.read(phaseVoidRead)
	case EventAnswered:
		return c.conclude(core.ClaimAnswered, Effect{Kind: EffectAnswer})
	}
	return c.conclude(core.ClaimUnknown, Effect{Kind: EffectRefuse, Refusal: outcomeUnknown()})
}

// conclude answers the caller first and records the outcome afterwards.
func (c Call) conclude(outcome core.ClaimState, answer Effect) (Call, []Effect) {
	c.outcome = outcome
	c.phase = phaseRecordRead
	c.steps = 0
	return c, []Effect{answer, {Kind: EffectRead}}
}

// recordRead takes the row in order to write the outcome. Another host may have settled
// it as unknown meanwhile; an answer still replaces that.
func (c Call) recordRead(event Event, now time.Time) (Call, []Effect) {
	c.steps++
	if c.steps > maxRecordSteps {
		c.phase = phaseDone
		return c, nil
	}
	if event.Kind != EventRead {
		return c, []Effect{{Kind: EffectRead}}
	}
	if !c.mine() || c.seen.State == c.outcome {
		c.phase = phaseDone
		return c, nil
	}
	c.phase = phaseRecording
	return c, []Effect{{Kind: EffectWrite, Version: c.version, Record: c.record(c.outcome, now)}}
}

func (c Call) recording(event Event) (Call, []Effect) {
	if event.Kind == EventCommitted {
		c.phase = phaseDone
		return c, nil
	}
	c.phase = phaseRecordRead
	return c, []Effect{{Kind: EffectRead}}
}
