package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Report holds the results of a run.
type Report struct {
	ElapsedS float64               `json:"elapsed_s"`
	Seed     uint64                `json:"seed"`
	Direct   bool                  `json:"direct"`
	Checked  bool                  `json:"checked"`           // every token was compared with the expected one
	Engines  *EngineStats          `json:"engines,omitempty"` // nil if no engines were polled
	Total    GroupStats            `json:"total"`
	Classes  map[string]GroupStats `json:"classes"`
	Teams    map[string]GroupStats `json:"teams"`
	Seconds  []SecondStats         `json:"seconds"`
	Failures []string              `json:"failures,omitempty"` // descriptions of the first failures

	total *groupMetrics // for the plot
}

// WriteText writes the report as text for people.
func (r *Report) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "run of %.1f s, seed %d, direct %t, tokens checked %t\n", r.ElapsedS, r.Seed, r.Direct, r.Checked)
	if r.Engines != nil {
		fmt.Fprintf(&text, "engines: %d preemptions, %d restarts\n", r.Engines.Preemptions, r.Engines.Restarts)
	}
	writeGroup(&text, "all", r.Total)
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		writeGroup(&text, "class "+name, r.Classes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		writeGroup(&text, "team "+name, r.Teams[name])
	}
	for _, failure := range r.Failures {
		fmt.Fprintf(&text, "failure: %s\n", failure)
	}
	_, err := io.WriteString(w, text.String())
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// writeGroup writes the statistics of one group.
func writeGroup(text *strings.Builder, name string, g GroupStats) {
	fmt.Fprintf(text, "\n%s: %d requests", name, g.Requests)
	for _, outcome := range slices.Sorted(maps.Keys(g.Outcomes)) {
		fmt.Fprintf(text, ", %s %d", outcome, g.Outcomes[outcome])
	}
	fmt.Fprintf(text, ", resumed %d\n", g.Resumed)
	fmt.Fprintf(text, "  completed tokens %d, %.1f/s\n", g.CompletedTokens, g.CompletedTokensPerS)
	fmt.Fprintf(text, "  stalled %.3f s in %d requests, %d gaps over %v, %d first tokens over %v\n",
		g.StalledS, g.StalledRequests, g.GapsOverBound, gapBound, g.LateFirstTokens, firstTokenBound)
	fmt.Fprintf(text, "  %-22s %10s %9s %9s %9s %9s %9s %9s\n", "ms", "count", "mean", "p50", "p95", "p99", "p99.9", "max")
	writeQuantiles(text, "stall per request", g.Stall)
	writeQuantiles(text, "token gap", g.TokenGap)
	writeQuantiles(text, "largest gap per stream", g.LargestGap)
	writeQuantiles(text, "first token", g.FirstToken)
}

func writeQuantiles(text *strings.Builder, name string, q Quantiles) {
	fmt.Fprintf(text, "  %-22s %10d %9.1f %9.1f %9.1f %9.1f %9.1f %9.1f\n", name, q.Count, q.Mean, q.P50, q.P95, q.P99, q.P999, q.Max)
}
