package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/freshness"
	"siskintide.example/siskintide/internal/decide/quarantine"
	"siskintide.example/siskintide/internal/decide/registry"
	"siskintide.example/siskintide/internal/decide/routetable"
	"siskintide.example/siskintide/internal/decide/shutdown"
)

// View is an immutable snapshot of the control state.
type View struct {
	Table            *routetable.Table // nil until a configuration is in force
	ConfigProof      freshness.Proof
	RegistryProof    freshness.Proof
	RegistryLoaded   bool // the registry has been read
	Targets          map[core.TargetID]registry.Entry
	Evacuated        map[core.DataCentreID]bool
	Holds            []quarantine.Hold      // of prompt parts under which engines crash
	LimitedTargets   map[core.TargetID]bool // targets that take only a limited rate of requests
	Shutdown         *shutdown.Schedule     // of this host; nil unless it shuts down
	StoreEra         uint64                 // latest era of the platform's store that is known
	ReadsStore       bool                   // this host reads the platform's store itself
	StoreUnavailable bool                   // the last call to the store failed
	ReadsHosts       bool                   // this host reads the list of hosts too
	HasSubscribers   bool                   // this host is the hub of other hosts
	ReadInterval     time.Duration          // minimum time between two reads of a table of the store
	VersionsUnknown  bool                   // it is not known which versions of targets may be used
	Changed          <-chan struct{}        // closed when a newer view has been published
}

// Leaving reports whether this host shuts down.
func (v *View) Leaving() bool { return v.Shutdown != nil }

// Usable reports whether new work may be sent to a target.
func (v *View) Usable(id core.TargetID) bool {
	entry, ok := v.Targets[id]
	return ok && !entry.Leaving && !v.Evacuated[entry.DataCentre]
}

// TargetLeaves reports whether a target is leaving or has no entry, so that it gets no new work. A target of an
// evacuated data centre gets none either, but does not leave.
func (v *View) TargetLeaves(id core.TargetID) bool {
	entry, ok := v.Targets[id]
	return !ok || entry.Leaving
}

// Hold returns the hold that covers a request with the given prompt parts at a time, or nil.
func (v *View) Hold(parts []core.PromptPart, now time.Duration) *quarantine.Hold {
	for i := range v.Holds {
		if v.Holds[i].Until > now && v.Holds[i].Covers(parts) {
			return &v.Holds[i]
		}
	}
	return nil
}

// ConfigFresh reports whether a configuration is known and its age is within the bound.
func (v *View) ConfigFresh(now, bound time.Duration) bool {
	return v.Table != nil && v.ConfigProof.Within(now, bound)
}
