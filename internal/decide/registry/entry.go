package registry

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Entry is one target of the registry.
type Entry struct {
	core.Registration
	SeenAt    time.Duration // when this state of the entry was read
	ColdUntil time.Duration
	// MissingSince is when the entry was found absent shortly after an outage; negative
	// if it is present.
	MissingSince time.Duration
}

// present is the value of MissingSince of an entry that is in the registry.
const present = time.Duration(-1)
