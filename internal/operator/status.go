package operator

import (
	"net/http"
	"slices"
	"strings"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/operatorapi"
	"siskintide.example/siskintide/internal/snapshot"
)

const maxListedPlans = 10 // recent plans listed in a status

// status replies with the state of the deployment as seen by this host.
func (s *server) status(w http.ResponseWriter, r *http.Request) {
	view := s.options.State.Snapshot()
	_, head, err := readHead(r.Context(), s.options.Store)
	if err != nil {
		head = revision.Head{}
	}
	status := &operatorapi.Status{
		Host:            view.Self.ID,
		AsOf:            s.options.Clock.Now().UTC(),
		PlatformReached: err == nil,
		Degraded:        view.Degraded,
		Accepted:        head.Revision,
		AcceptedAt:      head.AcceptedAt,
	}
	config := s.inForce()
	if config == nil {
		config = &core.Config{}
	}
	status.InForce = config.Revision
	if config.Revision > status.Accepted {
		status.Accepted = config.Revision
	}
	status.DataCentres = dataCentreStatuses(view, config, status)
	status.Targets = targetStatuses(config, s.options.State.Load())
	status.Plans = planStatuses(view, config)
	s.reply(w, status)
}

// dataCentreStatuses groups the hosts by data centre. Declared data centres come first.
func dataCentreStatuses(view *snapshot.Snapshot, config *core.Config, status *operatorapi.Status) []operatorapi.DataCentreStatus {
	all := []operatorapi.DataCentreStatus{}
	for _, dataCentre := range config.DataCentres {
		all = append(all, operatorapi.DataCentreStatus{DataCentre: dataCentre.ID, State: dataCentre.State})
	}
	for _, host := range view.Hosts {
		at := slices.IndexFunc(all, func(d operatorapi.DataCentreStatus) bool { return d.DataCentre == host.Host.DataCentre })
		if at < 0 {
			all = append(all, operatorapi.DataCentreStatus{DataCentre: host.Host.DataCentre})
			at = len(all) - 1
		}
		all[at].Hosts = append(all[at].Hosts, hostStatus(host, view.Self.ID, status))
	}
	for i := range all {
		unreachable := func(h operatorapi.HostStatus) bool { return !h.Reachable }
		slices.SortFunc(all[i].Hosts, func(a, b operatorapi.HostStatus) int { return strings.Compare(string(a.Host), string(b.Host)) })
		all[i].Unreachable = len(all[i].Hosts) > 0 && !slices.ContainsFunc(all[i].Hosts, func(h operatorapi.HostStatus) bool { return !unreachable(h) })
	}
	return all
}

// hostStatus returns the status of one host. A host has confirmed the accepted revision if that
// revision or a later one is in force there.
func hostStatus(view snapshot.HostView, self core.HostID, status *operatorapi.Status) operatorapi.HostStatus {
	host := operatorapi.HostStatus{
		Host:        view.Host.ID,
		Reachable:   view.Reachable || view.Host.ID == self,
		Leaving:     view.Host.Leaving,
		Revision:    view.Revision,
		LastContact: view.LastContact.UTC(),
	}
	if view.Host.ID == self {
		host.Revision = status.InForce
		host.LastContact = status.AsOf
	}
	host.Confirmed = host.Revision >= status.Accepted
	if !host.Confirmed {
		host.UnconfirmedSince = status.AcceptedAt
	}
	return host
}

func targetStatuses(config *core.Config, load plan.Load) []operatorapi.TargetStatus {
	catalog := core.NewCatalog(config)
	known := map[core.TargetID]plan.TargetLoad{}
	for _, target := range load.Targets {
		known[target.Target] = target
	}
	all := make([]operatorapi.TargetStatus, 0, len(config.Targets))
	for _, target := range config.Targets {
		reported, ok := known[target.ID]
		all = append(all, operatorapi.TargetStatus{
			Target: target.ID, DataCentre: target.DataCentre, Pool: target.Pool(), State: target.State,
			TakesWork: catalog.Accepts(target.ID), Owner: reported.Owner, LoadKnown: ok, Limit: reported.Limit,
			Streams: reported.Streams, Memory: reported.Memory, Forecast: reported.Forecast,
		})
	}
	return all
}

// planStatuses returns the most recent plans, newest first, with the hosts that have not
// confirmed them.
func planStatuses(view *snapshot.Snapshot, config *core.Config) []operatorapi.PlanStatus {
	all := []operatorapi.PlanStatus{}
	for back := range min(len(config.Plans), maxListedPlans) {
		at := config.Revision - core.Revision(back)
		outcome := operatorapi.PlanStatus{Plan: config.Plans[len(config.Plans)-1-back], Revision: at, Hosts: len(view.Hosts), UnconfirmedHosts: []core.HostID{}}
		for _, host := range view.Hosts {
			if host.Revision >= at || host.Host.ID == view.Self.ID {
				outcome.InForce++
				continue
			}
			outcome.UnconfirmedHosts = append(outcome.UnconfirmedHosts, host.Host.ID)
		}
		all = append(all, outcome)
	}
	return all
}
