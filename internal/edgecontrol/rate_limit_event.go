package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// rateLimitEvent reports whether a response of a target has named a limit.
type rateLimitEvent struct {
	target core.TargetID
	rate   *float64      // requests per second; nil if the response named none
	notRun bool          // the target did not run the request
	sentAt time.Duration // when the request was sent
}

func (e rateLimitEvent) apply(s *state) {
	entry := s.log.WithField("target", e.target).WithField("not_run", e.notRun)
	switch {
	case e.rate != nil && s.limits.RecordNamed(e.target, *e.rate, e.notRun, e.sentAt):
		entry.WithField("rate_limit", *e.rate).Info("target names a rate limit")
	case e.rate == nil && s.limits.RecordUnnamed(e.target, e.notRun, e.sentAt, s.now()):
		entry.Info("target names no rate limit any more")
	}
	s.shareLimits()
}
