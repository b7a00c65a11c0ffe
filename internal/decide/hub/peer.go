package hub

import "time"

// peer is what is known of a candidate.
type peer struct {
	linked     bool
	asked      time.Duration // first question that has not been answered
	waiting    bool          // asked is set
	askedAt    time.Duration // last question
	provenAt   time.Duration // moment that the candidate's last answer proves
	proven     bool
	avoidUntil time.Duration
}
