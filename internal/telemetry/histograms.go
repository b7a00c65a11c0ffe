package telemetry

import "github.com/uber-go/tally/v4"

// series holds the histograms of one team and class, so that recording allocates nothing.
type series struct {
	firstToken tally.Histogram
	tokenGap   tally.Histogram
	queue      tally.Histogram
	stall      tally.Histogram
	whole      tally.Histogram
}

func newSeries(scope tally.Scope) *series {
	return &series{
		firstToken: scope.Histogram("first_token_seconds", latencyBuckets),
		tokenGap:   scope.Histogram("token_gap_seconds", gapBuckets),
		queue:      scope.Histogram("queue_seconds", latencyBuckets),
		stall:      scope.Histogram("stall_seconds", latencyBuckets),
		whole:      scope.Histogram("request_seconds", latencyBuckets),
	}
}
