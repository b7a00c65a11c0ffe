package gateway

import (
	"context"
	"errors"
	"time"
)

const (
	// reportTimeout bounds a request for a report.
	reportTimeout = 300 * time.Millisecond
	// shortestNotice is the shortest time from an engine's notice until it leaves.
	shortestNotice = 1500 * time.Millisecond
)

// requestReport asks the current engine whether it leaves, if that is due.
func (s *streamRelay) requestReport(registryAge time.Duration) {
	due := s.reports.Due(s.now(), registryAge, s.missingSince > 0)
	if s.current == nil || due == 0 || due > s.now() {
		return
	}
	s.reports.RecordRequest(s.now())
	assignment, results := s.current.assignment, s.reportResults
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
		defer cancel()
		report, err := s.gateway.options.Reporter.Report(ctx, assignment.Target.Address)
		if err != nil {
			s.log.WithError(err).WithField("target", assignment.Target.Target).Debug("engine gave no report")
		}
		var refused *NoReportError
		results <- reportResult{target: assignment.Target.Target, report: report, refused: errors.As(err, &refused)}
	}()
}

// handleReport records a notice that the current engine leaves, and tells the control goroutine, so that the engine
// gets no new work. An engine that leaves without a notice is one from the time at which its entry was missing.
func (s *streamRelay) handleReport(result reportResult) {
	s.reports.RecordResult()
	if s.current == nil || s.current.assignment.Target.Target != result.target {
		return
	}
	if result.refused && s.missingSince > 0 {
		s.recordLeaving(noticeNoEntry, s.missingSince)
		return
	}
	if !result.report.Leaving {
		return
	}
	noticeAt := s.now()
	if s.missingSince > 0 {
		noticeAt = s.missingSince
	}
	if result.report.LeavesKnown {
		noticeAt = min(noticeAt, noticeAt+result.report.LeavesIn-shortestNotice)
	}
	s.log.WithField("target", result.target).WithField("leaves_in_ms", result.report.LeavesIn.Milliseconds()).
		Info("engine reports that it leaves")
	s.recordLeaving(noticeReport, noticeAt)
	s.gateway.options.Controller.MarkLeaving(result.target)
}
