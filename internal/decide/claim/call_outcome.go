package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// handleSend handles the result of sending the call to the service.
func (c Call) handleSend(event Event) (Call, []Effect) {
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
	c.phase = phaseOutcomeRead
	c.steps = 0
	return c, []Effect{answer, {Kind: EffectRead}}
}

// handleOutcomeRead handles the row that the outcome is to be written to. Another host may
// have set it to unknown meanwhile; an answer still replaces that.
func (c Call) handleOutcomeRead(event Event, now time.Time) (Call, []Effect) {
	c.steps++
	if c.steps > maxOutcomeSteps {
		c.phase = phaseDone
		return c, nil
	}
	if event.Kind != EventRead {
		return c, []Effect{{Kind: EffectRead}}
	}
	if !c.ownsRecord() || c.lastRead.State == c.outcome {
		c.phase = phaseDone
		return c, nil
	}
	c.phase = phaseOutcomeWrite
	return c, []Effect{{Kind: EffectWrite, Version: c.version, Record: c.newRecord(c.outcome, now)}}
}

func (c Call) handleOutcomeWrite(event Event) (Call, []Effect) {
	if event.Kind == EventCommitted {
		c.phase = phaseDone
		return c, nil
	}
	c.phase = phaseOutcomeRead
	return c, []Effect{{Kind: EffectRead}}
}
