package retrybudget

import "time"

// steps is the number of parts of a window that are counted by themselves.
const steps = 10

// safety is the part of the bound that a host uses: clocks of hosts differ by less than
// one step, which is a tenth of the window.
const safety = 0.85

// Budget counts the requests and second sends of one host for one pool. Only one
// goroutine uses it.
type Budget struct {
	limits   Limits
	requests [steps + 1]int
	repeats  [steps + 1]int
	step     int64 // number of the newest step
}

// NewBudget returns an empty ledger.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

// RecordRequest counts one request of a caller.
func (l *Budget) RecordRequest(now time.Duration) {
	l.advance(now)
	l.requests[l.step%int64(len(l.requests))]++
}

// TrySpend counts one second send and reports true if the host's share covers it. hosts is
// the number of hosts that share the bound, this one included.
func (l *Budget) TrySpend(now time.Duration, hosts int) bool {
	l.advance(now)
	if float64(total(l.repeats)+1) > l.allowance(hosts) {
		return false
	}
	l.repeats[l.step%int64(len(l.repeats))]++
	return true
}

// Remaining returns how many second sends the host's share still covers.
func (l *Budget) Remaining(now time.Duration, hosts int) int {
	l.advance(now)
	return max(int(l.allowance(hosts))-total(l.repeats), 0)
}

func (l *Budget) allowance(hosts int) float64 {
	earned := l.limits.Ratio * float64(total(l.requests))
	return safety * (earned + l.limits.Slack/float64(max(hosts, 1)))
}

// advance clears the steps that time has passed over. A clock that went back counts into
// the newest step.
func (l *Budget) advance(now time.Duration) {
	current := int64(now / max(l.limits.Window/steps, 1))
	for n := max(l.step+1, current-steps); n <= current; n++ {
		l.requests[n%int64(len(l.requests))] = 0
		l.repeats[n%int64(len(l.repeats))] = 0
	}
	l.step = max(l.step, current)
}

func total(counts [steps + 1]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}
