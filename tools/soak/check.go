package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	// leavingGrace is the time after which a leaving target must get no new requests.
	leavingGrace = 2 * time.Second
	// reconnectTime is the time after a fault with suspendsTimeBounds until time bounds
	// apply again.
	reconnectTime = 3 * time.Second
	// maxBeyondAttempts is the number of attempts that may run at more engines than the route's max-attempts.
	maxBeyondAttempts = 3
	// maxPrintedViolations limits the broken guarantees that are printed.
	maxPrintedViolations = 20
)

// checkGuarantees compares the requests recorded by the clients with the runs recorded by
// the targets. Of the requests with a valid key sent between from and two seconds before to,
// at least minServedShare must have been served.
func (s *soak) checkGuarantees(from, to time.Time) {
	complete, sent := 0, 0
	for _, request := range s.sent {
		s.checkRequest(request)
		if !request.linkBroken && request.sentAt.After(from) && request.sentAt.Add(request.uploading).Before(to.Add(-2*time.Second)) && s.isCurrentKey(request.key) {
			sent++
			if request.outcome == outcomeComplete {
				complete++
			}
		}
	}
	if sent == 0 || float64(complete) < minServedShare*float64(sent) {
		s.recordViolation("%d of %d requests served after the faults", complete, sent)
	}
	if s.beyondAttempts > maxBeyondAttempts {
		s.recordViolation("%d attempts ran at more than %d engines", s.beyondAttempts, platformtest.ResumableAttempts)
	}
	for _, part := range s.deadly {
		s.checkDeadlyPart(part)
	}
	for _, h := range s.hosts {
		if h.unexpectedExits > 0 {
			s.recordViolation("%s exited unexpectedly %d times", h.boot.Node, h.unexpectedExits)
		}
	}
}

func (s *soak) isCurrentKey(key string) bool {
	_, revoked := s.revokedAt[key]
	return !revoked
}

// checkRequest checks one request against its runs at the targets.
func (s *soak) checkRequest(request *sentRequest) {
	starts, runs := s.recorder.StartCount(request.id), s.recorder.Runs(request.id)
	if request.atMostOnce && starts > 1 {
		s.recordViolation("request %s was started %d times", request.id, starts)
	}
	if request.outcome == outcomeRefused && request.atMostOnce && starts > 0 {
		s.recordViolation("request %s was refused as not run, but ran", request.id)
	}
	if request.resumable && s.checkResumable(request, runs) {
		s.beyondAttempts++
	}
	if revokedAt, ok := s.revokedAt[request.key]; ok && starts > 0 && request.sentAt.Sub(revokedAt) > platformtest.BootRevokeMS*time.Millisecond {
		s.recordViolation("request %s ran with a key that was revoked %s before", request.id, request.sentAt.Sub(revokedAt))
	}
	for _, run := range runs {
		if leavingSince, ok := s.leavingSince[run.Runner]; ok && run.ResumedAfter < 0 && run.Started.Sub(leavingSince) > leavingGrace && s.timeBoundsApply(leavingSince, run.Started) {
			s.recordViolation("request %s was sent to %s %s after it announced that it leaves", request.id, run.Runner, run.Started.Sub(leavingSince))
		}
	}
	if !request.answered && !request.abandoned && len(runs) > 0 && !excused(s.broken, request, runs) {
		s.recordViolation("request %s was passed on by %s to %s and ended without an answer, %s after it was sent", request.id, request.host, runs[len(runs)-1].Runner, request.endedAt.Sub(request.sentAt))
	}
	together := s.recorder.Overlaps
	if request.beginsLate { // a run that is stopped soon after its begin is allowed beside another one
		together = s.recorder.Together
	}
	if request.stream && !excused(s.unreachable, request, runs) && !s.hostFailedDuring(request) && len(together(request.id)) > 0 {
		s.recordViolation("request %s ran at two targets at once: %s", request.id, runTimes(request, runs))
	}
}

// checkResumable checks that an attempt at a stream that may be resumed was not run if it was refused, and was not
// run again beyond the route's number of engines. It reports whether the attempt ran at more engines; a host may move
// a generation with its memory beyond that number.
func (s *soak) checkResumable(request *sentRequest, runs []platformtest.Run) (beyond bool) {
	runners := map[string]bool{}
	// An engine that begins late got the request before those that have begun meanwhile.
	sent := slices.SortedStableFunc(slices.Values(runs), func(a, b platformtest.Run) int { return a.Received.Compare(b.Received) })
	for _, run := range sent {
		if _, moved := run.Headers[platformtest.HeaderKVFrom]; !moved && len(runners) >= platformtest.ResumableAttempts {
			s.recordViolation("request %s was run again after it had run at %d engines: %s", request.id, len(runners), runTimes(request, runs))
		}
		runners[run.Runner] = true
	}
	if request.outcome == outcomeRefused && len(runs) > 0 {
		s.recordViolation("request %s was refused as not run, but ran at %d engines", request.id, len(runners))
	}
	return len(runners) > platformtest.ResumableAttempts
}

// excused reports whether the host or a target of a request had one of the faults, a moment before the request was
// sent or later.
func excused(faults map[string][]interval, request *sentRequest, runs []platformtest.Run) bool {
	names := []string{request.host}
	for _, run := range runs {
		names = append(names, run.Runner)
	}
	for _, name := range names {
		for _, period := range faults[name] {
			if period.start.Before(request.endedAt) && period.end.Add(reconnectTime).After(request.sentAt) {
				return true
			}
		}
	}
	return false
}

// hostFailedDuring reports whether the host of a request was killed or paused while it had the request. Nobody stops the
// runs that it knew of.
func (s *soak) hostFailedDuring(request *sentRequest) bool {
	for _, period := range s.broken[request.host] {
		if !period.end.Before(request.sentAt) && !period.start.After(request.endedAt) {
			return true
		}
	}
	return false
}

// timeBoundsApply reports whether no fault suspended the time bounds in a period.
func (s *soak) timeBoundsApply(from, to time.Time) bool {
	for _, period := range s.timeBoundsSuspended {
		if period.start.Before(to) && period.end.Add(reconnectTime).After(from) {
			return false
		}
	}
	return true
}

// report prints a summary and the violations, and returns the exit status.
func (s *soak) report() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[outcome]int{}
	for _, request := range s.sent {
		counts[request.outcome]++
	}
	fmt.Printf("seed %d: %d faults, %d requests: %d whole, %d refused, %d failed; %d promises broken\n", s.options.Seed, len(s.faultNames),
		len(s.sent), counts[outcomeComplete], counts[outcomeRefused], counts[outcomeFailed], len(s.violations))
	fmt.Printf("streams resumed by callers: %d, %d of them whole; %d attempts beyond the number of engines\n", s.resumedCount, s.resumedWhole, s.beyondAttempts)
	for _, part := range s.deadly {
		fmt.Println(part.summary())
	}
	if len(s.violations) == 0 {
		return 0
	}
	fmt.Printf("faults: %s\nlogs: %s\n", strings.Join(s.faultNames, "; "), s.dir)
	for i, text := range s.violations {
		if i == maxPrintedViolations {
			break
		}
		fmt.Println("broken:", text)
	}
	return 1
}
