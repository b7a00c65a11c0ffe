package main

import (
	"fmt"
	"io"
)

// The goals of siskintide, as ratios to the figures of other policies. minTokenShare is a goal
// as well.
const (
	maxStallRatio          = 0.05 // to least outstanding's stall time per request
	maxWorstGapRatio       = 0.05 // to least outstanding's 99th percentile of the largest gap
	maxPreemptionRatio     = 0.03 // to least outstanding's preemptions
	maxClairvoyantGapRatio = 3.0  // to the clairvoyant's 99th percentile of the largest gap
)

// printGoals compares siskintide with least outstanding and the clairvoyant policy for each
// mix and load, and prints whether siskintide meets its goals. The results are in the order of
// comparison.comparePolicies.
func printGoals(w io.Writer, results []result) {
	const policiesPerLoad = 5
	for i := 0; i+policiesPerLoad <= len(results); i += policiesPerLoad {
		baseline, ours, clairvoyantResult := results[i+1], results[i+3], results[i+4]
		stall := ratio(ours.StallMSPerRequest, baseline.StallMSPerRequest)
		gap := ratio(ours.WorstGapP99MS, baseline.WorstGapP99MS)
		preempted := ratio(float64(ours.Preemptions), float64(baseline.Preemptions))
		tokens := ratio(float64(ours.CompletedTokens), float64(baseline.CompletedTokens))
		gapToClairvoyant := ratio(ours.WorstGapP99MS, clairvoyantResult.WorstGapP99MS)
		met := stall <= maxStallRatio && gap <= maxWorstGapRatio && preempted <= maxPreemptionRatio && tokens >= minTokenShare && gapToClairvoyant <= maxClairvoyantGapRatio
		fmt.Fprintf(w, "%s %d%%: stall %.3f, worst gap p99 %.3f, preemptions %.3f, tokens %.3f of least outstanding; worst gap p99 %.2f of clairvoyant; met: %t\n",
			ours.Mix, ours.LoadPercent, stall, gap, preempted, tokens, gapToClairvoyant, met)
	}
}

// ratio returns a/b, or 0 if a is zero, also when b is zero.
func ratio(a, b float64) float64 {
	if a == 0 {
		return 0
	}
	return a / b
}
