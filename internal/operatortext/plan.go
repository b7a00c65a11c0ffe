package operatortext

import (
	"fmt"
	"io"
	"strings"

	"siskintide.example/siskintide/internal/decide/plan"
)

const maxListedTargets = 20 // targets that a plan lists one by one; the rest are counted

// WritePlan writes a plan.
func WritePlan(out io.Writer, p *plan.Plan) error {
	w := &writer{out: out}
	w.line("Plan %s: %s", p.ID, FormatIntent(p.Intent))
	w.line("Based on revision %d. Nothing changes until it is confirmed.", p.Base)
	w.line("")
	w.line("Changes:")
	writeSteps(w, p.Steps)
	writeTargets(w, p.Targets)
	writePools(w, p.Pools)
	writeHosts(w, p.Hosts)
	if len(p.Warnings) > 0 {
		w.line("Warnings:")
	}
	for _, warning := range p.Warnings {
		w.line("  ! %s (%s)", warning.Detail, warning.Kind)
	}
	return w.err
}

// FormatIntent returns an intent as the arguments of the command-line tool.
func FormatIntent(intent plan.Intent) string {
	words := []string{string(intent.Kind)}
	for _, word := range []string{string(intent.DataCentre), string(intent.Model), string(intent.Version)} {
		if word != "" {
			words = append(words, word)
		}
	}
	for _, target := range intent.Targets {
		words = append(words, string(target))
	}
	if intent.AcceptOverload {
		words = append(words, "--accept-overload")
	}
	if intent.AcceptUnserved {
		words = append(words, "--accept-unserved")
	}
	return strings.Join(words, " ")
}

func writeSteps(w *writer, steps []plan.Step) {
	for _, step := range steps {
		switch {
		case step.Action == plan.Add:
			w.line("  + add %s %s", step.Object, step.ID)
		case step.Action == plan.Remove:
			w.line("  - remove %s %s", step.Object, step.ID)
		case step.From == "" && step.To == "":
			w.line("  ~ %s %s: %s changes", step.Object, step.ID, step.Field)
		default:
			w.line("  ~ %s %s: %s from %s to %s", step.Object, step.ID, step.Field, orNone(step.From), orNone(step.To))
		}
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func writeTargets(w *writer, effects []plan.TargetEffect) {
	if len(effects) > 0 {
		w.line("Targets:")
	}
	for i, effect := range effects {
		if i == maxListedTargets {
			w.line("  and %d more", len(effects)-i)
			return
		}
		w.line("  %s (%s): %s", effect.Target, effect.DataCentre, effectText(effect))
	}
}

func effectText(effect plan.TargetEffect) string {
	streams := "load unknown"
	if effect.StreamsKnown {
		streams = fmt.Sprintf("%d streams now", effect.Streams)
	}
	switch effect.Kind {
	case plan.StopsTakingWork:
		return "receives no new work, its streams end normally; " + streams
	case plan.StartsTakingWork:
		return "receives work, from its cold floor upwards"
	case plan.LoadsVersion:
		return "loads the new version; " + streams
	}
	return string(effect.Kind)
}

func writePools(w *writer, pools []plan.PoolLoad) {
	if len(pools) > 0 {
		w.line("Expected load on what remains:")
	}
	for _, pool := range pools {
		w.line("  %s: targets %d -> %d; %d streams on warm bounds %d -> %d (%d bearable now)", pool.Pool,
			pool.TargetsBefore, pool.TargetsAfter, pool.Streams, pool.WarmStreamsBefore, pool.WarmStreamsAfter, pool.StreamLimitAfter)
		if pool.MemoryTokensBefore > 0 {
			w.line("    memory: %d tokens forecast on %d -> %d", pool.Memory, pool.MemoryTokensBefore, pool.MemoryTokensAfter)
		}
	}
}

func writeHosts(w *writer, hosts []plan.HostEffect) {
	if len(hosts) > 0 {
		w.line("In force within seconds at:")
	}
	for _, host := range hosts {
		reached := host.Hosts - len(host.Unreachable)
		w.line("  %s: %d of %d hosts", host.DataCentre, reached, host.Hosts)
	}
}
