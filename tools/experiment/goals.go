package main

import (
	"fmt"
	"io"
)

const (
	stallGoal      = 0.05 // of least outstanding's stall time per request
	worstGapGoal   = 0.05 // of least outstanding's 99th percentile of the largest gap
	preemptionGoal = 0.03 // of least outstanding's preemptions
	clairvoyantMax = 3.0  // times the clairvoyant's 99th percentile of the largest gap
)

// printTargets compares siskintide with least outstanding and the clairvoyant, per mix
// and load. The results come in the order of bench.cell.
func printTargets(w io.Writer, results []result) {
	const perCell = 5
	for i := 0; i+perCell <= len(results); i += perCell {
		least, ours, seer := results[i+1], results[i+3], results[i+4]
		stall := ratio(ours.StallMSPerRequest, least.StallMSPerRequest)
		gap := ratio(ours.WorstGapP99MS, least.WorstGapP99MS)
		preempted := ratio(float64(ours.Preemptions), float64(least.Preemptions))
		tokens := ratio(float64(ours.CompletedTokens), float64(least.CompletedTokens))
		toSeer := ratio(ours.WorstGapP99MS, seer.WorstGapP99MS)
		met := stall <= stallGoal && gap <= worstGapGoal && preempted <= preemptionGoal && tokens >= leastTokenShare && toSeer <= clairvoyantMax
		fmt.Fprintf(w, "%s %d%%: stall %.3f, worst gap p99 %.3f, preemptions %.3f, tokens %.3f of least outstanding; worst gap p99 %.2f of clairvoyant; met: %t\n",
			ours.Mix, ours.LoadPercent, stall, gap, preempted, tokens, toSeer, met)
	}
}

// ratio returns a part of b, or 0 when both are zero.
func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}
