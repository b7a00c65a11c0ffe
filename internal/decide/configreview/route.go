package configreview

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Route is a route as it is written.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        core.RouteKind // zero if the kind is not known
	Timeout     time.Duration
	AnswerGoal  time.Duration
	GapGoal     time.Duration
	Priority    int
	Service     string
	Shares      []Share
	MaxAttempts int
	Public      bool
	Resumable   bool
	Sticky      bool
	StickyOdd   bool // the value of sticky is neither true nor false, and counts as false
}

// repeatable reports whether requests of the route may run more than once.
func (r *Route) repeatable() bool {
	return r.Kind == core.RouteIdempotent || r.Kind == core.RouteStream && r.Resumable
}

// shares returns how requests are distributed. A service beside a list of shares is ignored.
func (r *Route) shares() []Share {
	if len(r.Shares) == 0 && r.Service != "" {
		return []Share{{Service: r.Service, Weight: 1}}
	}
	return r.Shares
}
