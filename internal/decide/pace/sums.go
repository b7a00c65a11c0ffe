package pace

import "time"

// Sums is what hosts have seen of the streams of one engine in some time.
type Sums struct {
	Events  int           // events whose time since the event before is known
	Time    time.Duration // sum of those times
	Late    int           // of those, times over the goal
	Longest time.Duration // longest pause; it may have begun before the times that are summed
	Goal    time.Duration // longest pause that is not late; the shortest one if the streams' goals differ
	// LateStreams is the number of streams of which a pause was late for the first time.
	LateStreams int
}

// Record adds the time between two events of a stream.
func (s *Sums) Record(gap, goal time.Duration) {
	*s = s.Plus(Sums{Events: 1, Time: gap, Longest: gap, Goal: goal})
	if gap > goal {
		s.Late++
	}
}

// Plus returns the sum of two reports.
func (s Sums) Plus(other Sums) Sums {
	goal := min(s.Goal, other.Goal)
	if goal <= 0 {
		goal = max(s.Goal, other.Goal)
	}
	return Sums{Events: s.Events + other.Events, Time: s.Time + other.Time, Late: s.Late + other.Late, Longest: max(s.Longest, other.Longest), Goal: goal, LateStreams: s.LateStreams + other.LateStreams}
}

// bounded returns the sums within what a report can hold; those of another host are not trusted.
func (s Sums) bounded() Sums {
	s.Events = min(max(s.Events, 0), maxEvents)
	s.Time = min(max(s.Time, 0), time.Duration(s.Events)*maxGap)
	s.Late = min(max(s.Late, 0), s.Events)
	s.Longest = min(max(s.Longest, 0), maxGap)
	s.LateStreams = min(max(s.LateStreams, 0), s.Late)
	return s
}
