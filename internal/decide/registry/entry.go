package registry

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Entry is one registered target.
type Entry struct {
	core.Registration
	SeenAt    time.Duration // when this state of the entry was recorded
	ColdUntil time.Duration
	// MissingSince is when the entry was found missing during the grace period after an
	// outage. It is negative if the entry is present.
	MissingSince time.Duration
}

// present is the value of MissingSince for an entry that is in the store.
const present = time.Duration(-1)
