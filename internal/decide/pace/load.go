package pace

import "siskintide.example/siskintide/internal/core"

// Load is the load of an engine while events were seen, or under which they are forecast.
type Load struct {
	Requests       int
	PendingPrefill core.Tokens // prompt tokens of requests without a first event
	MemoryShare    float64     // forecast share of the memory; above 1 if the forecasts exceed it
}
