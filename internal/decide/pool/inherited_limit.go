package pool

import (
	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// inheritedLimit is the stream limit that an incarnation of a target had reached under a
// former owner.
type inheritedLimit struct {
	incarnation uint64 // as returned by IncarnationHash
	streams     int
}

// IncarnationHash returns a short hash that identifies an incarnation.
func IncarnationHash(incarnation core.Incarnation) uint64 {
	return xxhash.Sum64String(string(incarnation))
}

// InheritLimit records the stream limit of a target under its former owner. The limit is
// restored only if the first report to this owner comes from the same incarnation. Nothing
// else is kept across a change of owner.
func (p *Pool) InheritLimit(id core.TargetID, incarnation uint64, streams int) {
	if target := p.targets[id]; target != nil && !target.reported {
		target.inherited = inheritedLimit{incarnation: incarnation, streams: streams}
	}
}

// restoreLimit restores the inherited limit if it belongs to the current incarnation.
func (t *targetState) restoreLimit() {
	if t.inherited.streams > 0 && t.inherited.incarnation == IncarnationHash(t.incarnation) {
		t.limit.Restore(t.inherited.streams)
	}
	t.inherited = inheritedLimit{}
}
