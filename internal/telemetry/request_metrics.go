package telemetry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"siskintide.example/siskintide/internal/core"
)

// RequestMetrics records what callers see, for each team and class. It is safe for concurrent use.
type RequestMetrics struct {
	scope  tally.Scope
	tags   *tagLimiter
	series sync.Map // seriesKey to *series
}

// NewRequestMetrics returns the recorder below a scope.
func NewRequestMetrics(scope tally.Scope) *RequestMetrics {
	return &RequestMetrics{scope: scope, tags: newTagLimiter(maxTeams)}
}

// FirstToken records the time from the caller's request to its first token.
func (t *RequestMetrics) FirstToken(team core.TeamID, class core.Class, d time.Duration) {
	t.of(team, class).firstToken.RecordDuration(d)
}

// TokenGap records the time between two tokens of one answer.
func (t *RequestMetrics) TokenGap(team core.TeamID, class core.Class, d time.Duration) {
	t.of(team, class).tokenGap.RecordDuration(d)
}

// QueueTime records the time that a request waited for a ticket.
func (t *RequestMetrics) QueueTime(team core.TeamID, class core.Class, d time.Duration) {
	t.of(team, class).queue.RecordDuration(d)
}

// StallTime records the sum over one answer of the time by which token gaps went beyond
// the target kind's bound.
func (t *RequestMetrics) StallTime(team core.TeamID, class core.Class, d time.Duration) {
	t.of(team, class).stall.RecordDuration(d)
}

// RequestEnded records the time to the end of a request, and counts requests by how they ended.
func (t *RequestMetrics) RequestEnded(team core.TeamID, class core.Class, outcome string, d time.Duration) {
	t.of(team, class).whole.RecordDuration(d)
	tags := t.tags.tags(team, class)
	tags["outcome"] = outcome
	t.scope.Tagged(tags).Counter("requests_total").Inc(1)
}

// Refused counts a refusal by its kind.
func (t *RequestMetrics) Refused(team core.TeamID, class core.Class, kind core.RefusalKind) {
	tags := t.tags.tags(team, class)
	tags["kind"] = string(kind)
	t.scope.Tagged(tags).Counter("refusals_total").Inc(1)
}

// of returns the histograms of a team and class, made on first use.
func (t *RequestMetrics) of(team core.TeamID, class core.Class) *series {
	key := seriesKey{team: team, class: class}
	if known, ok := t.series.Load(key); ok {
		return known.(*series)
	}
	made := newSeries(t.scope.Tagged(t.tags.tags(team, class)))
	known, _ := t.series.LoadOrStore(key, made)
	return known.(*series)
}

// latencyBuckets span the times of whole waits; 0.77 s is the first-token target.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 25 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, 770 * time.Millisecond, 1500 * time.Millisecond,
	3 * time.Second, 6 * time.Second, 15 * time.Second, 60 * time.Second,
}

// gapBuckets span the times between tokens; 77 ms is the target.
var gapBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond,
	77 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, time.Second,
	3 * time.Second, 10 * time.Second,
}
