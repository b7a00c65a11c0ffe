package retrybudget

import "time"

// windowSteps is the number of steps into which the window is divided for counting.
const windowSteps = 10

// safetyFactor is the part of its share that a host uses. The rest covers the difference
// between the hosts' clocks, which is less than one step, a tenth of the window.
const safetyFactor = 0.85

// Budget counts the requests and retries of one host for one pool. It is not safe for
// concurrent use.
type Budget struct {
	limits   Limits
	requests [windowSteps + 1]int
	retries  [windowSteps + 1]int
	step     int64 // number of the newest step
}

// NewBudget returns a budget without requests and retries.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

// RecordRequest counts one request of a caller.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.step%int64(len(b.requests))]++
}

// TrySpend counts one retry and returns true if the host's share covers it. hosts is the
// number of hosts that share the bound, including this one.
func (b *Budget) TrySpend(now time.Duration, hosts int) bool {
	b.advance(now)
	if float64(total(b.retries)+1) > b.allowance(hosts) {
		return false
	}
	b.retries[b.step%int64(len(b.retries))]++
	return true
}

// Remaining returns how many more retries the host's share covers.
func (b *Budget) Remaining(now time.Duration, hosts int) int {
	b.advance(now)
	return max(int(b.allowance(hosts))-total(b.retries), 0)
}

func (b *Budget) allowance(hosts int) float64 {
	earned := b.limits.Ratio * float64(total(b.requests))
	return safetyFactor * (earned + b.limits.Slack/float64(max(hosts, 1)))
}

// advance clears the steps that begin between the newest step and now. If the clock has
// gone back, the newest step goes on counting.
func (b *Budget) advance(now time.Duration) {
	current := int64(now / max(b.limits.Window/windowSteps, 1))
	for n := max(b.step+1, current-windowSteps); n <= current; n++ {
		b.requests[n%int64(len(b.requests))] = 0
		b.retries[n%int64(len(b.retries))] = 0
	}
	b.step = max(b.step, current)
}

func total(counts [windowSteps + 1]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}
