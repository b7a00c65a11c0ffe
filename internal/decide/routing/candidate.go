package routing

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Candidate is the state of one owner host for one pool, as known to an entry host.
type Candidate struct {
	Host        core.HostID
	Local       bool    // the owner is in the entry host's own data centre
	Accepts     bool    // the owner's data centre is in service; owners that cannot be reached are no candidates
	Share       float64 // fraction of requests that may go there, 0 to 1; a returning data centre starts low
	FreeStreams int
	Headroom    core.Tokens
	Queued      int
	Targets     int
	Age         time.Duration // time since the capacity was received
}

// room estimates the number of tickets that the owner can grant. The free streams are
// discounted by the age of the capacity, and queued requests are subtracted.
func (c *Candidate) room() float64 {
	freshness := 1 - min(c.Age.Seconds()/capacityLifetime.Seconds(), 1)
	return float64(c.FreeStreams)*freshness - float64(c.Queued)
}

// better reports whether the candidate is preferred to the other.
func (c *Candidate) better(other *Candidate) bool {
	mine, theirs := c.perTarget(), other.perTarget()
	if mine != theirs {
		return mine > theirs
	}
	return c.Headroom*core.Tokens(other.Targets) > other.Headroom*core.Tokens(c.Targets)
}

func (c *Candidate) perTarget() float64 { return c.room() / float64(c.Targets) }
