package loadgen

import (
	"fmt"
	"time"
)

// keptFailures bounds the descriptions of failures that a report lists.
const keptFailures = 10

// recorder collects samples. It belongs to one goroutine.
type recorder struct {
	started  time.Time
	total    *measures
	classes  map[string]*measures
	teams    map[string]*measures
	seconds  []SecondStats
	failures []string
}

func newRecorder(started time.Time) *recorder {
	return &recorder{
		started: started,
		total:   newMeasures(totalDigits),
		classes: map[string]*measures{},
		teams:   map[string]*measures{},
	}
}

// run collects samples until the channel is closed.
func (r *recorder) run(samples <-chan *sample) {
	for s := range samples {
		r.add(s)
	}
}

func (r *recorder) add(s *sample) {
	r.total.add(s)
	member(r.classes, string(s.caller.Class)).add(s)
	member(r.teams, string(s.caller.Team)).add(s)
	r.addSeconds(s)
	outcome := s.outcome()
	listed := outcome == "wrong" || outcome == "broken" || outcome == "unanswered"
	if listed && len(r.failures) < keptFailures {
		r.failures = append(r.failures, fmt.Sprintf("%s after %d tokens: %v", outcome, s.tokens(), s.err))
	}
}

// member returns the measures of a group, which it adds if they are missing.
func member(groups map[string]*measures, name string) *measures {
	if groups[name] == nil {
		groups[name] = newMeasures(groupDigits)
	}
	return groups[name]
}

// addSeconds counts a sample's tokens in the seconds in which they came.
func (r *recorder) addSeconds(s *sample) {
	at := s.started
	if s.firstToken > 0 {
		at = at.Add(s.firstToken)
		r.second(at).Tokens++
	}
	for _, gap := range s.gaps {
		at = at.Add(gap)
		second := r.second(at)
		second.Tokens++
		second.WorstGapMS = max(second.WorstGapMS, milliseconds(float64(gap.Microseconds())))
	}
	if s.err == nil {
		r.second(at).Completed++
	} else {
		r.second(at).Failed++
	}
}

// second returns the second of the run that a time falls into.
func (r *recorder) second(at time.Time) *SecondStats {
	number := max(0, int(at.Sub(r.started)/time.Second))
	for len(r.seconds) <= number {
		r.seconds = append(r.seconds, SecondStats{})
	}
	return &r.seconds[number]
}

// report summarises the run.
func (r *recorder) report(elapsed time.Duration) *Report {
	report := &Report{
		ElapsedS: elapsed.Seconds(),
		Total:    r.total.result(elapsed),
		Classes:  results(r.classes, elapsed),
		Teams:    results(r.teams, elapsed),
		Seconds:  r.seconds,
		Failures: r.failures,
		total:    r.total,
	}
	return report
}

func results(groups map[string]*measures, elapsed time.Duration) map[string]GroupStats {
	all := map[string]GroupStats{}
	for name, m := range groups {
		all[name] = m.result(elapsed)
	}
	return all
}
