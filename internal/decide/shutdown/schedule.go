package shutdown

import "time"

const (
	// forecastMargin is the factor by which a generation may take longer than its forecast.
	forecastMargin = 2
	// moveTime is the time that a generation's move to another engine may take.
	moveTime = time.Second
)

// Schedule is the schedule of a host that shuts down. It is immutable. A nil Schedule is that of a host that
// does not.
type Schedule struct {
	// ConnectionsUntil is the time until which the load balancer may still pass new connections to the host.
	ConnectionsUntil time.Duration
	// ResponsesUntil is the time by which every request has its response.
	ResponsesUntil time.Duration
}

// Left returns the time until every request has its response, or most if the host does not shut down before.
func (s *Schedule) Left(now, most time.Duration) time.Duration {
	if s == nil {
		return most
	}
	return min(most, s.ResponsesUntil-now)
}

// Admits reports whether a request may be sent to a target now. Once no more new connections come, a request
// is admitted only if it ends in time even if it takes as long as it can. Before that, its forecast is enough,
// and a request without one is admitted, because most of the time that a host has is still left then.
func (s *Schedule) Admits(request Request, now time.Duration) bool {
	if s == nil {
		return true
	}
	left := s.ResponsesUntil - now
	switch early := now < s.ConnectionsUntil; {
	case left <= 0:
		return false
	case request.TimeLeft <= left:
		return true
	case early && request.Expected > 0:
		return forecastMargin*request.Expected <= left
	case early:
		return true
	default:
		return request.Longest > 0 && forecastMargin*request.Longest <= left
	}
}

// AllowsMove reports whether the move of a generation to another engine may begin now.
func (s *Schedule) AllowsMove(now time.Duration) bool {
	return s == nil || s.ResponsesUntil-now >= moveTime
}
