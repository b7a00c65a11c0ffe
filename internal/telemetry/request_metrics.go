package telemetry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"siskintide.example/siskintide/internal/core"
)

// RequestMetrics records latencies and outcomes of callers' requests by team and class. It is
// safe for concurrent use.
type RequestMetrics struct {
	scope      tally.Scope
	tags       *tagLimiter
	histograms sync.Map // histogramsKey to *histograms
}

// NewRequestMetrics returns a recorder whose metrics belong to the scope.
func NewRequestMetrics(scope tally.Scope) *RequestMetrics {
	return &RequestMetrics{scope: scope, tags: newTagLimiter(maxTeams)}
}

// FirstToken records the time from the caller's request to its first token.
func (m *RequestMetrics) FirstToken(team core.TeamID, class core.Class, d time.Duration) {
	m.histogramsOf(team, class).firstToken.RecordDuration(d)
}

// TokenGap records the time between two tokens of one response.
func (m *RequestMetrics) TokenGap(team core.TeamID, class core.Class, d time.Duration) {
	m.histogramsOf(team, class).tokenGap.RecordDuration(d)
}

// QueueTime records the time that a request waited for a ticket.
func (m *RequestMetrics) QueueTime(team core.TeamID, class core.Class, d time.Duration) {
	m.histogramsOf(team, class).queue.RecordDuration(d)
}

// StallTime records by how much the token gaps of one response exceeded the bound of the
// target kind, summed over the response.
func (m *RequestMetrics) StallTime(team core.TeamID, class core.Class, d time.Duration) {
	m.histogramsOf(team, class).stall.RecordDuration(d)
}

// RequestEnded records the duration of a request and counts requests by outcome.
func (m *RequestMetrics) RequestEnded(team core.TeamID, class core.Class, outcome string, d time.Duration) {
	m.histogramsOf(team, class).request.RecordDuration(d)
	tags := m.tags.tags(team, class)
	tags["outcome"] = outcome
	m.scope.Tagged(tags).Counter("requests_total").Inc(1)
}

// Resumed counts the resumptions of streams by who resumed them and by outcome.
func (m *RequestMetrics) Resumed(team core.TeamID, class core.Class, by, outcome string) {
	tags := m.tags.tags(team, class)
	tags["by"], tags["outcome"] = by, outcome
	m.scope.Tagged(tags).Counter("stream_resumptions_total").Inc(1)
}

// Refused counts a refusal by its kind.
func (m *RequestMetrics) Refused(team core.TeamID, class core.Class, kind core.RefusalKind) {
	tags := m.tags.tags(team, class)
	tags["kind"] = string(kind)
	m.scope.Tagged(tags).Counter("refusals_total").Inc(1)
}

// histogramsOf returns the histograms of a team and class and creates them on first use.
func (m *RequestMetrics) histogramsOf(team core.TeamID, class core.Class) *histograms {
	key := histogramsKey{team: team, class: class}
	if known, ok := m.histograms.Load(key); ok {
		return known.(*histograms)
	}
	created := newHistograms(m.scope.Tagged(m.tags.tags(team, class)))
	known, _ := m.histograms.LoadOrStore(key, created)
	return known.(*histograms)
}

// latencyBuckets are the bounds of waits and request durations; 0.77 s is the latency goal for
// the first token.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 25 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, 770 * time.Millisecond, 1500 * time.Millisecond,
	3 * time.Second, 6 * time.Second, 15 * time.Second, 60 * time.Second,
}

// gapBuckets are the bounds of the times between tokens; 77 ms is the goal.
var gapBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond,
	77 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, time.Second,
	3 * time.Second, 10 * time.Second,
}
