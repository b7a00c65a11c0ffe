package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/freshness"
	"siskintide.example/siskintide/internal/decide/registry"
	"siskintide.example/siskintide/internal/decide/routetable"
)

// View is what a host knows at one moment. It is immutable.
type View struct {
	Table            *routetable.Table // nil until a configuration is known
	ConfigProof      freshness.Proof
	RegistryLoaded   bool // the registry has been read
	Targets          map[core.TargetID]registry.Entry
	Evacuated        map[core.DataCentreID]bool
	Leaving          bool            // this host shuts down
	ReadsStore       bool            // the host reads the platform's store by itself
	StoreUnavailable bool            // its last call to the store failed
	HasSubscribers   bool            // other hosts learn from this one
	Changed          <-chan struct{} // closed when a newer view is in force
}

// Usable reports whether new work may be sent to a target.
func (v *View) Usable(id core.TargetID) bool {
	member, ok := v.Targets[id]
	return ok && !member.Leaving && !v.Evacuated[member.DataCentre]
}

// ConfigFresh reports whether the configuration is proved to be at most as old as the bound.
func (v *View) ConfigFresh(now, bound time.Duration) bool {
	return v.Table != nil && v.ConfigProof.Within(now, bound)
}
