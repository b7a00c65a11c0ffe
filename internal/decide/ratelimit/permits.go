package ratelimit

import (
	"math"
	"time"
)

const (
	// unusedPeriod and unusedPermits bound the permits of all issuers together that can be used later
	// than they were issued: those of a period, and a few, as requests come unevenly.
	unusedPeriod  = time.Second
	unusedPermits = 2.0
	// maxDebt bounds the permits that are used in advance, as a time at the issuer's rate.
	maxDebt = 4 * time.Second
	// maxWait stands for the time until a permit that is never issued.
	maxWait = time.Minute
)

// Permits issues one issuer's share of the permits of a target. It is not safe for concurrent use.
type Permits struct {
	position float64 // permits issued, with the fraction of the next one
	used     float64 // permits used or expired; a whole number
	rate     float64 // own permits per second, since at
	started  bool
	at       time.Duration // of position
}

// NewPermits returns an issuer whose first permit is issued after 1 - phase of the time between two. Issuers
// of one target have different phases, between 0 and 1, so that they do not issue permits together.
func NewPermits(phase float64) *Permits { return &Permits{position: phase} }

// advance issues the permits up to now and drops the expired ones.
func (p *Permits) advance(now time.Duration, rate Rate) {
	if p.started && now > p.at {
		p.position += p.rate * (now - p.at).Seconds()
	}
	p.started, p.at, p.rate = true, max(now, p.at), rate.own()
	unused := rate.Share * (rate.Total*unusedPeriod.Seconds() + unusedPermits)
	p.used = max(p.used, math.Floor(p.position-unused))
}

// Available returns the number of permits that can be used now.
func (p *Permits) Available(now time.Duration, rate Rate) int {
	p.advance(now, rate)
	return max(int(math.Floor(p.position)-p.used), 0)
}

// Take uses one permit. If there is none it is taken from those to come.
func (p *Permits) Take(now time.Duration, rate Rate) {
	p.advance(now, rate)
	p.used = min(p.used+1, math.Floor(p.position+1+rate.own()*maxDebt.Seconds()))
}

// UntilNext returns the time until the next permit after those that are available.
func (p *Permits) UntilNext(now time.Duration, rate Rate) time.Duration {
	p.advance(now, rate)
	missing := max(p.used, math.Floor(p.position)) + 1 - p.position
	if rate.own() <= 0 || missing/rate.own() > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(missing / rate.own() * float64(time.Second))
}
