package main

import (
	"encoding/json"
	"fmt"
	"strings"

	"siskintide.example/siskintide/tools/load/loadgen"
)

// report holds the results of a measurement.
type report struct {
	Engines   int     `json:"engines"`
	Rate      float64 `json:"rate_per_s"`
	Length    int     `json:"tokens_per_answer"`
	StepMS    float64 `json:"step_ms"`
	DurationS float64 `json:"duration_s"`
	Seed      uint64  `json:"seed"`
	Rounds    []round `json:"rounds"`
}

// json returns the report as JSON.
func (r *report) json() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode report: %w", err)
	}
	return append(data, '\n'), nil
}

// text returns the report as text for people.
func (r *report) text() string {
	var text strings.Builder
	streams := r.Rate * float64(r.Length) * r.StepMS / 1000
	fmt.Fprintf(&text, "one entry host, %d engines with steps of %.0f ms, %.0f requests/s of %d tokens for %.0f s: about %.0f streams at once; seed %d\n",
		r.Engines, r.StepMS, r.Rate, r.Length, r.DurationS, streams, r.Seed)
	for i, result := range r.Rounds {
		fmt.Fprintf(&text, "\nround %d\n%-9s %9s %9s | %9s %9s %9s | %9s %9s %9s\n", i+1, "ms", "requests", "completed", "gap p50", "gap p99", "gap p99.9", "first avg", "first p50", "first p99")
		writeRow(&text, "direct", result.Direct)
		writeRow(&text, "relayed", result.Relayed)
		direct, relayed := result.Direct, result.Relayed
		fmt.Fprintf(&text, "%-9s %9s %9s | %9.2f %9.2f %9.2f | %9.2f %9.2f %9.2f\n", "added", "", "",
			relayed.TokenGap.P50-direct.TokenGap.P50, relayed.TokenGap.P99-direct.TokenGap.P99, relayed.TokenGap.P999-direct.TokenGap.P999,
			relayed.FirstToken.Mean-direct.FirstToken.Mean, relayed.FirstToken.P50-direct.FirstToken.P50, relayed.FirstToken.P99-direct.FirstToken.P99)
		fmt.Fprintf(&text, "host: %.2f s of processor time, %.0f tokens a second per core, peak resident memory %d KiB\n", result.HostCPUS, result.tokensPerCore(), result.HostPeakKiB)
		for _, failure := range result.Failures {
			fmt.Fprintf(&text, "failure: %s\n", failure)
		}
	}
	return text.String()
}

// writeRow writes one row of a round's table.
func writeRow(text *strings.Builder, name string, g loadgen.GroupStats) {
	fmt.Fprintf(text, "%-9s %9d %9d | %9.2f %9.2f %9.2f | %9.2f %9.2f %9.2f\n", name, g.Requests, g.Outcomes["completed"],
		g.TokenGap.P50, g.TokenGap.P99, g.TokenGap.P999, g.FirstToken.Mean, g.FirstToken.P50, g.FirstToken.P99)
}
