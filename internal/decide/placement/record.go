package placement

import "time"

const (
	// failureWeight is the part of the failure rate that one more outcome makes up; ten
	// outcomes tell a target that fails nearly half of its requests.
	failureWeight = 0.12
	// heardWeight is the same for the outcomes of all hosts, of which there are more.
	heardWeight = 0.04
	// mostHeard bounds the outcomes of one account that are counted; more say nothing new.
	mostHeard = 100
	// suspicionFirst is how long a target is avoided after it could not be reached.
	suspicionFirst = 500 * time.Millisecond
	// suspicionMost bounds how long a target is avoided before it is tried again.
	suspicionMost = 4 * time.Second
	// fullPeriod is how long a target that refused for lack of room is avoided.
	fullPeriod = 150 * time.Millisecond
)

// record is what the outcomes of sends say of a target.
type record struct {
	own        rate          // of this host's sends
	heard      rate          // of all hosts that tell this one, and of its own
	untold     OutcomeCounts // own outcomes that the hub has not been told
	suspect    time.Duration
	avoidUntil time.Duration
	misplaced  bool // another target has its address
}

func (r *record) note(outcome Outcome, now time.Duration) {
	switch outcome {
	case Answered:
		r.count(false, now)
		r.suspect = 0
	case Failed:
		r.count(true, now)
	case Unreachable:
		r.count(true, now)
		r.suspect = min(max(2*r.suspect, suspicionFirst), suspicionMost)
		r.avoidUntil = now + r.suspect
	case Full:
		r.avoidUntil = max(r.avoidUntil, now+fullPeriod)
	case Misdirected:
		r.misplaced = true
	case Inconclusive:
	}
}

func (r *record) count(failed bool, now time.Duration) {
	r.own.note(failed, failureWeight, now)
	r.heard.note(failed, heardWeight, now)
	if failed {
		r.untold.Failed++
	} else {
		r.untold.Answered++
	}
}

// hear takes over another host's outcomes.
func (r *record) hear(tally OutcomeCounts, now time.Duration) {
	for range min(tally.Answered, mostHeard) {
		r.heard.note(false, heardWeight, now)
	}
	for range min(tally.Failed, mostHeard) {
		r.heard.note(true, heardWeight, now)
	}
}
