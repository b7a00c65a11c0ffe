package rerun

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Effect is one action for the executor. Effects are executed in order.
type Effect struct {
	Kind       EffectKind
	Connection ConnectionID      // EffectResume and EffectRerun: the new one; EffectStop: the old one
	Generation core.GenerationID // EffectResume, EffectStop
	After      core.Sequence     // EffectResume: last token received
	Wait       time.Duration     // EffectResume: backoff before connecting
	Reason     EndReason         // EffectEnd
	MayHaveRun bool              // EffectEnd: some target may have run the request
}
