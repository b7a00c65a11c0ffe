package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Effect is one thing that the executor has to do. Effects are carried out in order; the
// last one that brings an event, if any, decides the next step.
type Effect struct {
	Kind    EffectKind
	Wait    time.Duration // EffectRead: how long to wait before it
	Version uint64        // EffectWrite: version that the row must have
	Record  Record        // EffectWrite; in state answered the executor adds the answer
	Refusal *core.Refusal // EffectRefuse
}
