package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// promiseTTL is how long a permit is kept for a caller that was told when to come back.
	promiseTTL = 400 * time.Millisecond
	// promiseLead is how much before that time the caller may come back, because timers differ.
	promiseLead = 20 * time.Millisecond
	// promiseLag is how long a caller that comes back in time may have to wait.
	promiseLag = 20 * time.Millisecond
	// returnWeight is the weight of one promise in the share of callers that come back, and
	// minReturning the lowest value of that share.
	returnWeight = 0.02
	minReturning = 0.1
	// promisedShare is the share of the permits that are promised. Callers come back unevenly.
	promisedShare = 0.8
	// maxPromise bounds the time for which permits are promised: limits change.
	maxPromise = 5 * time.Second
	// patience is the part of its remaining time that a caller spends on waiting to come back.
	patience = 1.0 / 3
)

// Redeem reports whether a request comes back as it was told, and uses up that promise.
func (g *Gate) Redeem(team core.TeamID, content uint64, now time.Duration) bool {
	g.dropPromises(now)
	at := slices.IndexFunc(g.promises, func(p promise) bool {
		return p.team == team && p.content == content && p.due-promiseLead <= now
	})
	if at < 0 {
		return false
	}
	g.promises = slices.Delete(g.promises, at, at+1)
	g.countPromise(1)
	return true
}

// reject returns the rejection of a request, and promises it a permit if its caller will be back by
// then. A flow is promised permits at the rate that is due to it, so that it does not take those of
// others, and what a caller is told holds.
func (g *Gate) reject(w Waiter, supply Supply, now time.Duration) Rejection {
	after := max(supply.Until(len(g.waiting)+1), minRetryAfter)
	from := flow{w.Priority, w.Team}
	if last, promised := g.lastDue[from]; promised && supply.Rate > 0 {
		spacing := g.returning / (promisedShare * supply.Rate * g.demand.share(from))
		after = min(max(after, last-now+time.Duration(min(spacing, maxWait.Seconds())*float64(time.Second))), maxWait)
	}
	if after <= min(time.Duration(patience*float64(w.TimeLeft)), maxPromise) {
		g.promise(promise{content: w.Content, team: w.Team, due: now + after, until: now + after + promiseTTL})
		g.lastDue[from] = now + after
	}
	return Rejection{ID: w.ID, RetryAfter: after}
}

// promise adds a promise in the order of due times.
func (g *Gate) promise(p promise) {
	at, _ := slices.BinarySearchFunc(g.promises, p.due, func(other promise, due time.Duration) int { return cmp.Compare(other.due, due) })
	g.promises = slices.Insert(g.promises, at, p)
}

// dropPromises drops the promises whose callers have not come back.
func (g *Gate) dropPromises(now time.Duration) {
	g.promises = slices.DeleteFunc(g.promises, func(p promise) bool {
		if p.until < now {
			g.countPromise(0)
		}
		return p.until < now
	})
}

// countPromise records whether the caller of a promise has come back, as 1 or 0.
func (g *Gate) countPromise(returned float64) {
	g.returning = max(g.returning+returnWeight*(returned-g.returning), minReturning)
}

// expected returns how many of a number of promises are expected to be redeemed.
func (g *Gate) expected(promises int) int { return int(math.Ceil(g.returning * float64(promises))) }
