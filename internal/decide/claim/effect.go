package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Effect is one action for the executor. Effects are executed in order. EffectRead,
// EffectAcquire, EffectWrite and EffectSend result in an event for Call.Step; a step returns
// at most one of them, as its last effect.
type Effect struct {
	Kind    EffectKind
	Wait    time.Duration // EffectRead: how long to wait before it
	Version uint64        // EffectWrite: version that the row must have
	Record  Record        // EffectWrite; in state answered the executor adds the answer
	Refusal *core.Refusal // EffectRefuse
}
