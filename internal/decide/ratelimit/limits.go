package ratelimit

import (
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// maxTargets bounds the targets whose limits are remembered. Other hosts may name any.
const maxTargets = 4096

// Limits holds the limits that targets name. It must be used by one goroutine only.
type Limits struct {
	statements map[core.TargetID]*statement
}

// NewLimits returns a value without limits.
func NewLimits() *Limits { return &Limits{statements: map[core.TargetID]*statement{}} }

// RecordNamed records that the response to a request sent at sentAt has named a rate, and reports
// whether a limit begins or its rate changes. notRun is set if the target did not run the request.
func (l *Limits) RecordNamed(target core.TargetID, rate float64, notRun bool, sentAt time.Duration) bool {
	known := l.statements[target]
	if known == nil {
		if len(l.statements) >= maxTargets {
			return false
		}
		l.statements[target] = &statement{rate: rate, sentAt: sentAt, byRejection: notRun}
		return true
	}
	if sentAt < known.sentAt {
		return false // responses may overtake each other
	}
	changed := known.ended || known.rate != rate
	known.told = known.told && !known.ended
	known.rate, known.sentAt, known.byRejection, known.ended = rate, sentAt, notRun, false
	return changed
}

// RecordUnnamed records that the response to a request sent at sentAt has named no limit, and
// reports whether that ends one. A limit named by rejections only is not ended by a response to a
// request that was run, unless it has not been named for a while.
func (l *Limits) RecordUnnamed(target core.TargetID, notRun bool, sentAt, now time.Duration) bool {
	known := l.statements[target]
	if known == nil || known.ended || sentAt <= known.sentAt || known.byRejection && !notRun && sentAt-known.sentAt < rejectionHold {
		return false
	}
	known.sentAt, known.ended, known.endedAt, known.told = sentAt, true, now, false
	return true
}

// Rate returns the rate of a target in requests per second over all hosts, or false if it is not
// limited.
func (l *Limits) Rate(target core.TargetID, now time.Duration) (float64, bool) {
	known := l.statements[target]
	if known == nil {
		return 0, false
	}
	return known.current(now)
}

// Limited returns the targets that are limited now.
func (l *Limits) Limited(now time.Duration) map[core.TargetID]bool {
	limited := map[core.TargetID]bool{}
	for target, known := range l.statements {
		if _, holds := known.current(now); holds {
			limited[target] = true
		}
	}
	return limited
}

// Forget drops what is known of a target that is gone or has started again.
func (l *Limits) Forget(target core.TargetID) { delete(l.statements, target) }

// Expire drops limits that have ended, and those of targets that are not registered any more.
func (l *Limits) Expire(registered func(core.TargetID) bool, now time.Duration) {
	for target, known := range l.statements {
		if known.ended && now-known.endedAt >= endedTTL || now-known.sentAt >= unregisteredTTL && !registered(target) {
			delete(l.statements, target)
		}
	}
}

// TakeChanges returns what the other hosts have to be told, once.
func (l *Limits) TakeChanges(now time.Duration) []core.TargetLimit {
	var all []core.TargetLimit
	for target, known := range l.statements {
		if known.due(now) {
			known.told, known.toldAt, known.toldRate = true, now, known.rate
			all = append(all, known.report(target, now))
		}
	}
	return all
}

// All returns what a host that knows nothing has to be told.
func (l *Limits) All(now time.Duration) []core.TargetLimit {
	var all []core.TargetLimit
	for target, known := range l.statements {
		all = append(all, known.report(target, now))
	}
	return all
}

// Merge takes over what another host knows, as far as it is newer. Small differences in age come from
// the time that a message takes.
func (l *Limits) Merge(reports []core.TargetLimit, now time.Duration) {
	for _, report := range reports {
		if report.Age < 0 || report.EndedAge < 0 || report.Rate < 0 || math.IsNaN(report.Rate) || math.IsInf(report.Rate, 0) {
			continue
		}
		sentAt, known := now-report.Age, l.statements[report.Target]
		if known != nil {
			same := known.rate == report.Rate && known.ended == report.Ended
			if sentAt <= known.sentAt || same && sentAt-known.sentAt < renewalInterval/2 {
				continue
			}
		} else if len(l.statements) >= maxTargets {
			continue
		}
		l.statements[report.Target] = &statement{
			rate: report.Rate, sentAt: sentAt, byRejection: report.ByRejection, ended: report.Ended, endedAt: now - report.EndedAge,
		}
	}
}
