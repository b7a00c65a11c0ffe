package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Update is new state from the platform's store, read by this host or sent by its hub.
type Update struct {
	// SentAt is the time at which the read was sent. The result is at least as recent.
	SentAt time.Duration
	// Config is a configuration, or nil if it has not changed.
	Config *core.RoutingConfig
	// FullConfig is set if Config was read with the whole operator's table, not as a change.
	FullConfig bool
	// Evacuated is the set of data centres that get no new work; nil means unchanged.
	Evacuated map[core.DataCentreID]bool
	// CoversConfig is set if the read covered configuration and evacuations.
	CoversConfig bool
	// Registrations are the registry's new and changed entries.
	Registrations []core.Registration
	// Removed lists the entries that were removed.
	Removed []core.Removal
	// ConfigRevision and RegistryRevision are the revisions of the store up to which the
	// update has all changes of configuration and evacuations, and of the registry, as far as
	// it covers them. ConfigEra and RegistryEra are the eras of the store in which they count.
	ConfigRevision, RegistryRevision uint64
	ConfigEra, RegistryEra           uint64
	// FromHub is set if the update came from the hub and not from a read of the store.
	FromHub bool
	// Hosts is the list of hosts; nil means unchanged.
	Hosts []core.Host
	// Orders has the orders of rollouts that are in force; nil means unchanged.
	Orders map[core.PoolID]core.RolloutOrder
	// Rollouts has all records of rollouts; nil means unchanged.
	Rollouts map[core.PoolID]RolloutRow
	// StoreTime is the time on the store's clock at which it responded, in Unix time; zero if it is not known.
	StoreTime time.Duration
	// CoversRegistry is set if the read covered the registry.
	CoversRegistry bool
	// FullRegistry is set if Registrations holds all entries of the registry, not only the
	// new and changed ones.
	FullRegistry bool
}

func (u *Update) configPosition() core.StorePosition {
	return core.StorePosition{Era: u.ConfigEra, Revision: u.ConfigRevision}
}

func (u *Update) registryPosition() core.StorePosition {
	return core.StorePosition{Era: u.RegistryEra, Revision: u.RegistryRevision}
}
