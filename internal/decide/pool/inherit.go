package pool

import (
	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// inherited is what a former owner said that one incarnation of a target bears.
type inherited struct {
	incarnation uint64 // IncarnationHash
	streams     int
}

// IncarnationHash identifies an incarnation in few bytes.
func IncarnationHash(incarnation core.Incarnation) uint64 {
	return xxhash.Sum64String(string(incarnation))
}

// InheritLimit takes the limit that a former owner gave a target. It holds only if the first
// report here comes from the same incarnation: what that has learnt to bear outlives a
// change of owner, and nothing else does.
func (p *Pool) InheritLimit(id core.TargetID, incarnation uint64, streams int) {
	if target := p.targets[id]; target != nil && !target.known {
		target.inherited = inherited{incarnation: incarnation, streams: streams}
	}
}

// takeInherited raises the limit of an incarnation that a former owner knew.
func (t *targetState) takeInherited() {
	if t.inherited.streams > 0 && t.inherited.incarnation == IncarnationHash(t.incarnation) {
		t.limit.Restore(t.inherited.streams)
	}
	t.inherited = inherited{}
}
