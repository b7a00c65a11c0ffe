package daemon

import (
	"slices"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operator"
	"siskintide.example/siskintide/internal/snapshot"
)

var _ operator.State = operatorState{}

// operatorState gives operator calls access to the control state.
type operatorState struct {
	controller controlapi.Controller
}

// Snapshot implements operator.State.
func (o operatorState) Snapshot() *snapshot.Snapshot { return o.controller.Snapshot() }

// Load implements operator.State.
func (o operatorState) Load() plan.Load {
	view := o.controller.Snapshot()
	var load plan.Load
	for _, host := range view.Hosts {
		load.Hosts = append(load.Hosts, plan.HostLoad{
			Host:       host.Host.ID,
			DataCentre: host.Host.DataCentre,
			Reachable:  host.Reachable,
			Leaving:    host.Host.Leaving,
		})
	}
	for _, target := range slices.Concat(view.Owned, view.PeerTargets) {
		load.Targets = append(load.Targets, plan.TargetLoad{
			Target:   target.Target,
			Owner:    target.Owner,
			Limit:    target.Limit,
			Streams:  target.Running,
			Memory:   target.MemoryUsed,
			Forecast: target.Forecast,
		})
	}
	return load
}
