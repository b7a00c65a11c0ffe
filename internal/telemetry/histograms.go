package telemetry

import "github.com/uber-go/tally/v4"

// histograms holds the histograms of one team and class, so that recording a value allocates
// nothing.
type histograms struct {
	firstToken tally.Histogram
	tokenGap   tally.Histogram
	queue      tally.Histogram
	stall      tally.Histogram
	request    tally.Histogram
}

func newHistograms(scope tally.Scope) *histograms {
	return &histograms{
		firstToken: scope.Histogram("first_token_seconds", latencyBuckets),
		tokenGap:   scope.Histogram("token_gap_seconds", gapBuckets),
		queue:      scope.Histogram("queue_seconds", latencyBuckets),
		stall:      scope.Histogram("stall_seconds", latencyBuckets),
		request:    scope.Histogram("request_seconds", latencyBuckets),
	}
}
