package operatortest

import (
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/snapshot"
)

// State is a control thread that puts configurations in force at once.
type State struct {
	view atomic.Pointer[snapshot.Snapshot]
	load plan.Load
}

// NewState returns a host without a configuration. The load stays as given.
func NewState(self core.Host, hosts []snapshot.HostView, load plan.Load) *State {
	s := &State{load: load}
	s.view.Store(&snapshot.Snapshot{Self: self, Hosts: hosts, PlatformReached: true})
	return s
}

// Snapshot returns the latest view.
func (s *State) Snapshot() *snapshot.Snapshot { return s.view.Load() }

// Load returns the given load.
func (s *State) Load() plan.Load { return s.load }

// OfferConfig puts a configuration in force if its revision is higher.
func (s *State) OfferConfig(config *core.Config) {
	next := *s.view.Load()
	if next.Catalog != nil && next.Catalog.Config.Revision >= config.Revision {
		return
	}
	next.Catalog = core.NewCatalog(config)
	s.view.Store(&next)
}
