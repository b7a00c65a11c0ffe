package telemetry

import (
	"sync"
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
)

// maxTeams bounds the values of the team tag; later teams share otherTeam. It protects
// the memory of the process and of whatever scrapes it.
const maxTeams = 64

// otherTeam is the tag value of teams beyond the bound.
const otherTeam = "other"

// tagLimiter gives tag values to teams, the first ones their own names.
type tagLimiter struct {
	max   int64
	count atomic.Int64
	seen  sync.Map // core.TeamID to its tag value
}

func newTagLimiter(maxValues int64) *tagLimiter {
	return &tagLimiter{max: maxValues}
}

func (l *tagLimiter) tags(team core.TeamID, class core.Class) map[string]string {
	return map[string]string{"team": l.value(team), "class": string(class)}
}

func (l *tagLimiter) value(team core.TeamID) string {
	if value, ok := l.seen.Load(team); ok {
		return value.(string)
	}
	value := otherTeam
	if l.count.Add(1) <= l.max {
		value = string(team)
	}
	actual, _ := l.seen.LoadOrStore(team, value)
	return actual.(string)
}
