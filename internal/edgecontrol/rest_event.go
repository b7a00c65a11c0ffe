package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// restEvent reports that a target has turned a request away and asked this host to send it nothing for a
// time.
type restEvent struct {
	target core.TargetID
	rest   time.Duration
}

func (e restEvent) apply(s *state) {
	s.balancer.RecordRest(e.target, e.rest, s.now())
	s.log.WithField("target", e.target).WithField("for_ms", e.rest.Milliseconds()).Info("target asks to be sent nothing")
}
