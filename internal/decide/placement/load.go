package placement

import "siskintide.example/siskintide/internal/core"

// Load is the work that one or more hosts have placed on a target.
type Load struct {
	Requests       int         // requests sent and not yet answered in full
	Memory         core.Tokens // forecast memory of running generations at their end
	Copies         core.Tokens // forecast memory of copies of generations running elsewhere
	PendingPrefill core.Tokens // prompt tokens of requests without a first event
}

func (l Load) plus(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Memory: l.Memory + other.Memory, Copies: l.Copies + other.Copies, PendingPrefill: l.PendingPrefill + other.PendingPrefill}
}

func (l Load) minus(other Load) Load {
	return Load{Requests: l.Requests - other.Requests, Memory: l.Memory - other.Memory, Copies: l.Copies - other.Copies, PendingPrefill: l.PendingPrefill - other.PendingPrefill}
}
