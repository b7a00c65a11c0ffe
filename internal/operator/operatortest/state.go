package operatortest

import (
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/snapshot"
)

// State fakes the control goroutine. It puts configurations in force immediately.
type State struct {
	view atomic.Pointer[snapshot.Snapshot]
	load plan.Load
}

// NewState returns the state of a host without a configuration. Its load does not change.
func NewState(self core.Host, hosts []snapshot.HostView, load plan.Load) *State {
	s := &State{load: load}
	s.view.Store(&snapshot.Snapshot{Self: self, Hosts: hosts, PlatformReached: true})
	return s
}

// Snapshot returns the current snapshot.
func (s *State) Snapshot() *snapshot.Snapshot { return s.view.Load() }

// Load returns the load passed to NewState.
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
