package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Update is what one read of the platform's store has told.
type Update struct {
	// SentAt is when the read was sent; the store's answer is at least as new.
	SentAt time.Duration
	// Config is a newer configuration, or nil.
	Config *core.RoutingConfig
	// Evacuated lists the data centres that are to get nothing; nil means no news.
	Evacuated map[core.DataCentreID]bool
	// CoversConfig says that the read covers configuration and evacuations.
	CoversConfig bool
	// Registrations are entries that are new or have changed.
	Registrations []core.Registration
	// Removed are entries that are gone.
	Removed []core.TargetID
	// FromHub says that another host has told this, and not a read of the store.
	FromHub bool
	// Hosts is the list of hosts; nil means no news.
	Hosts []core.Host
	// CoversRegistry says that the read covers the registry.
	CoversRegistry bool
	// FullRegistry says that Registrations is the whole registry.
	FullRegistry bool
}
