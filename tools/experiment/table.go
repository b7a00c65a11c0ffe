package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printTable writes the results as a table with aligned columns.
func printTable(w io.Writer, results []result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "mix\tload %\tpolicy\ttokens\tdone\trefused\tunstarted\tpreempted\tmemory %\tstall ms\tfirst mean\tfirst p95\tgap p99.9\tworst p95\tworst p99\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			r.Mix, r.LoadPercent, r.Policy, r.CompletedTokens, r.Completed, r.Refused, r.NotStarted, r.Preemptions,
			r.MemoryPercent, r.StallMSPerRequest, r.FirstTokenMeanMS, r.FirstTokenP95MS, r.GapP999MS, r.WorstGapP95MS, r.WorstGapP99MS)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
