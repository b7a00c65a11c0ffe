package failover

import "time"

const (
	// reportAfter is the age of the registry from which the engine of a running generation is
	// asked by itself whether it leaves. A registry that is followed stays below it.
	reportAfter = 1300 * time.Millisecond
	// reportInterval is the time between two reports of an engine. Engines leave 1.5 s after
	// their notice at the earliest, and their reports are up to half a second old.
	reportInterval = 350 * time.Millisecond
)

// ReportSchedule decides when to ask a generation's engine for a report. It answers an outage of
// the registry, during which a notice that an engine leaves is not seen otherwise, and an entry that is missing: that
// of an engine that leaves without a notice, or of one that is cut off from the registry and runs on.
type ReportSchedule struct {
	asked   bool // a report has been requested
	pending bool // the last request has no result yet
	askedAt time.Duration
}

// Due returns when the next report is due, given the age of the registry, and whether it lacks the engine's entry. It
// returns zero while a request is pending.
func (s *ReportSchedule) Due(now, registryAge time.Duration, entryMissing bool) time.Duration {
	if s.pending {
		return 0
	}
	due := now
	if !entryMissing {
		due += max(reportAfter-registryAge, 0)
	}
	if s.asked {
		due = max(due, s.askedAt+reportInterval)
	}
	return due
}

// RecordRequest records that a report has been requested.
func (s *ReportSchedule) RecordRequest(now time.Duration) {
	s.asked, s.pending, s.askedAt = true, true, now
}

// RecordResult records that the request has ended, with a report or without.
func (s *ReportSchedule) RecordResult() { s.pending = false }
