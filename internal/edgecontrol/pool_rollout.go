package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rollout"
)

// poolRollout is the state of one pool's rollouts.
type poolRollout struct {
	controller  *rollout.Controller
	exposure    *rollout.Exposure
	stored      RolloutRow    // as last read from the store
	pending     uint64        // sequence of the record that is being written; zero if there is none
	pendingAt   time.Duration // when that write began
	coldProbeAt time.Duration // when this host last sent a request to the new version
	behindAt    time.Duration // since when the store has an older record than this host; zero if it has not
}

// main returns the version to which requests go that are not exposed to a new one, or false if no record is known.
func (p *poolRollout) main() (core.Version, bool) {
	record, known := p.controller.Record()
	return record.Main(), known
}

// isNew reports whether a version is the new one of an active rollout.
func (p *poolRollout) isNew(v core.Version) bool {
	record, known := p.controller.Record()
	return known && record.Phase.Active() && v == record.To && v != record.Current
}
