package telemetry

import (
	"sync"
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
)

// maxTeams bounds the values of the team tag; later teams share otherTeam. It protects
// the memory of the process and of the scraper.
const maxTeams = 64

// otherTeam is the tag value of all teams after the first maxTeams.
const otherTeam = "other"

// tagLimiter maps teams to values of the team tag. The first max teams get their own ID, and
// later ones share otherTeam. It is safe for concurrent use.
type tagLimiter struct {
	max    int64
	count  atomic.Int64
	values sync.Map // core.TeamID to its tag value
}

func newTagLimiter(maxValues int64) *tagLimiter {
	return &tagLimiter{max: maxValues}
}

func (l *tagLimiter) tags(team core.TeamID, class core.Class) map[string]string {
	return map[string]string{"team": l.teamTag(team), "class": string(class)}
}

func (l *tagLimiter) teamTag(team core.TeamID) string {
	if value, ok := l.values.Load(team); ok {
		return value.(string)
	}
	value := otherTeam
	if l.count.Add(1) <= l.max {
		value = string(team)
	}
	actual, _ := l.values.LoadOrStore(team, value)
	return actual.(string)
}
