package operatortext

import (
	"fmt"
	"io"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/operatorapi"
)

// WriteStatus writes the state of the deployment as seen by one host.
func WriteStatus(out io.Writer, status *operatorapi.Status) error {
	w := &writer{out: out}
	w.line("Seen from host %s at %s", status.Host, status.AsOf.Format(time.RFC3339))
	w.line("Accepted revision %d, in force here %d; platform %s%s", status.Accepted, status.InForce, platformText(status.PlatformReached), degradedText(status.Degraded))
	for _, dataCentre := range status.DataCentres {
		writeDataCentre(w, status, dataCentre)
	}
	if len(status.Targets) > 0 {
		w.line("Targets:")
	}
	for _, target := range status.Targets {
		writeTarget(w, target)
	}
	if len(status.Plans) > 0 {
		w.line("Recent plans:")
	}
	for _, plan := range status.Plans {
		writePlanStatus(w, plan)
	}
	return w.err
}

func platformText(yes bool) string {
	if yes {
		return "reached"
	}
	return "NOT reached: the accepted revision may be higher"
}

func degradedText(yes bool) string {
	if yes {
		return "; this host owns targets without a renewed lease"
	}
	return ""
}

func writeDataCentre(w *writer, status *operatorapi.Status, dataCentre operatorapi.DataCentreStatus) {
	note := ""
	if dataCentre.Unreachable {
		note = " - CUT OFF: none of its hosts can be reached; it goes on with the revision it has"
	}
	w.line("Data centre %s: %s%s", dataCentre.DataCentre, stateText(dataCentre.State), note)
	for _, host := range dataCentre.Hosts {
		w.line("  host %s: revision %d%s", host.Host, host.Revision, hostNote(status, host))
	}
}

func stateText(state core.AdminState) string {
	if state == "" {
		return "not declared"
	}
	return string(state)
}

func hostNote(status *operatorapi.Status, host operatorapi.HostStatus) string {
	note := ""
	if !host.Confirmed {
		note = fmt.Sprintf(", has not confirmed revision %d", status.Accepted)
	}
	if !host.Confirmed && !host.UnconfirmedSince.IsZero() {
		note += fmt.Sprintf(" for %s", ago(status.AsOf, host.UnconfirmedSince))
	}
	if !host.Reachable && host.LastContact.IsZero() {
		note += ", never heard"
	}
	if !host.Reachable && !host.LastContact.IsZero() {
		note += fmt.Sprintf(", not reachable, last heard %s ago", ago(status.AsOf, host.LastContact))
	}
	if host.Leaving {
		note += ", leaving"
	}
	return note
}

func ago(now, then time.Time) time.Duration { return now.Sub(then).Round(time.Second) }

func writeTarget(w *writer, target operatorapi.TargetStatus) {
	work := "takes no work"
	if target.TakesWork {
		work = "takes work"
	}
	if !target.LoadKnown {
		w.line("  %s (%s, %s): %s; load not known here", target.Target, target.DataCentre, target.Pool, work)
		return
	}
	owner := "unknown"
	if target.Owner != "" {
		owner = string(target.Owner)
	}
	w.line("  %s (%s, %s): %s; owner %s; %d streams of %d; memory %d tokens, forecast %d",
		target.Target, target.DataCentre, target.Pool, work, owner, target.Streams, target.Limit, target.Memory, target.Forecast)
}

func writePlanStatus(w *writer, plan operatorapi.PlanStatus) {
	if len(plan.UnconfirmedHosts) == 0 {
		w.line("  %s, revision %d: in force at all %d hosts", plan.Plan, plan.Revision, plan.Hosts)
		return
	}
	w.line("  %s, revision %d: in force at %d of %d hosts; not yet at %v", plan.Plan, plan.Revision, plan.InForce, plan.Hosts, plan.UnconfirmedHosts)
}
