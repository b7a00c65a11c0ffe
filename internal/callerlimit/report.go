package callerlimit

import "time"

// reportInterval is the least time between two log lines with the same reason.
const reportInterval = 2 * time.Second

// report counts the refusals for one reason that were not logged yet.
type report struct {
	count int
	next  time.Duration // when the next line may be logged
}

// add counts a refusal. It returns the number of refusals to log, and whether a line is due.
func (r *report) add(now time.Duration) (int, bool) {
	r.count++
	if now < r.next {
		return 0, false
	}
	count := r.count
	r.count, r.next = 0, now+reportInterval
	return count, true
}
