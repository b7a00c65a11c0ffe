package shutdown

import "time"

// Request is what the decision needs to know of a request that has arrived completely.
type Request struct {
	TimeLeft time.Duration // until the request ends in any case, by its caller's deadline or its route's timeout
	Expected time.Duration // forecast of its duration; zero if there is none
	Longest  time.Duration // forecast of its duration at its greatest length; zero if that is not known
}
