package routing

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Candidate is what an entry host knows of one owner host for one pool.
type Candidate struct {
	Host        core.HostID
	Local       bool    // the owner is in the entry host's own data centre
	Accepts     bool    // the owner can be reached and its data centre is in
	Share       float64 // share of requests that may go there, 0 to 1; a returning data centre starts low
	FreeStreams int
	Headroom    core.Tokens
	Queued      int
	Targets     int
	Age         time.Duration // time since the summary was received
}

// room estimates the tickets that the owner can grant. An old summary counts less; waiting
// requests count against it.
func (c *Candidate) room() float64 {
	fresh := 1 - min(c.Age.Seconds()/summaryLifetime.Seconds(), 1)
	return float64(c.FreeStreams)*fresh - float64(c.Queued)
}

// better reports whether the candidate should be asked rather than the other.
func (c *Candidate) better(other *Candidate) bool {
	mine, theirs := c.perTarget(), other.perTarget()
	if mine != theirs {
		return mine > theirs
	}
	return c.Headroom*core.Tokens(other.Targets) > other.Headroom*core.Tokens(c.Targets)
}

func (c *Candidate) perTarget() float64 { return c.room() / float64(c.Targets) }
