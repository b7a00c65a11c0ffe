package loadgen

import (
	"fmt"
	"time"
)

// maxListedFailures bounds the number of failures that a report describes.
const maxListedFailures = 10

// recorder aggregates samples by class, by team and by second. It is used by one goroutine
// only.
type recorder struct {
	started  time.Time
	total    *groupMetrics
	classes  map[string]*groupMetrics
	teams    map[string]*groupMetrics
	seconds  []SecondStats
	failures []string
}

func newRecorder(started time.Time) *recorder {
	return &recorder{
		started: started,
		total:   newGroupMetrics(totalDigits),
		classes: map[string]*groupMetrics{},
		teams:   map[string]*groupMetrics{},
	}
}

// run adds samples until the channel is closed.
func (r *recorder) run(samples <-chan *sample) {
	for s := range samples {
		r.add(s)
	}
}

func (r *recorder) add(s *sample) {
	r.total.add(s)
	groupMetricsOf(r.classes, string(s.caller.Class)).add(s)
	groupMetricsOf(r.teams, string(s.caller.Team)).add(s)
	r.addSeconds(s)
	outcome := s.outcome()
	listed := outcome == "wrong" || outcome == "broken" || outcome == "unanswered"
	if listed && len(r.failures) < maxListedFailures {
		r.failures = append(r.failures, fmt.Sprintf("%s after %d tokens: %v", outcome, s.tokenCount(), s.err))
	}
}

// groupMetricsOf returns the metrics of a group and creates them if they are missing.
func groupMetricsOf(groups map[string]*groupMetrics, name string) *groupMetrics {
	if groups[name] == nil {
		groups[name] = newGroupMetrics(groupDigits)
	}
	return groups[name]
}

// addSeconds counts a sample's tokens in the seconds in which they arrived, and its end in
// the second of its last token.
func (r *recorder) addSeconds(s *sample) {
	at := s.started
	if s.firstToken > 0 {
		at = at.Add(s.firstToken)
		r.secondAt(at).Tokens++
	}
	for _, gap := range s.gaps {
		at = at.Add(gap)
		second := r.secondAt(at)
		second.Tokens++
		second.WorstGapMS = max(second.WorstGapMS, milliseconds(float64(gap.Microseconds())))
	}
	if s.err == nil {
		r.secondAt(at).Completed++
	} else {
		r.secondAt(at).Failed++
	}
}

// secondAt returns the statistics of the second of the run that contains the given time.
func (r *recorder) secondAt(at time.Time) *SecondStats {
	number := max(0, int(at.Sub(r.started)/time.Second))
	for len(r.seconds) <= number {
		r.seconds = append(r.seconds, SecondStats{})
	}
	return &r.seconds[number]
}

// report returns the report of a run of the given duration.
func (r *recorder) report(elapsed time.Duration) *Report {
	report := &Report{
		ElapsedS: elapsed.Seconds(),
		Total:    r.total.result(elapsed),
		Classes:  groupResults(r.classes, elapsed),
		Teams:    groupResults(r.teams, elapsed),
		Seconds:  r.seconds,
		Failures: r.failures,
		total:    r.total,
	}
	return report
}

func groupResults(groups map[string]*groupMetrics, elapsed time.Duration) map[string]GroupStats {
	all := map[string]GroupStats{}
	for name, m := range groups {
		all[name] = m.result(elapsed)
	}
	return all
}
