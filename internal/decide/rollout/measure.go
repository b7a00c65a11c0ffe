package rollout

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// measure is a property of answers by which versions are compared.
type measure struct {
	name string
	// durations selects the durations that are compared; nil compares failures.
	durations func(*core.RolloutCell) []uint32
	// slowdown is the multiple of the median of both versions together from which an answer counts as slow.
	// The median of both, and not that of the old version, keeps the test exact.
	slowdown int
	// startsStream is set if the durations of a stream are those to its first event.
	startsStream bool
	// minExcess is the smallest difference between the versions' fractions that matters.
	minExcess float64
}

// minSlowness is the least by which a duration must exceed the median to count as slow. Differences below it
// come from the scheduling of small hosts.
const minSlowness = 25 * time.Millisecond

// streamSlowdown is the least slowdown of first events: prompts whose memory the old targets still have start
// sooner there, which says nothing about the version.
const streamSlowdown = 3

func times(c *core.RolloutCell) []uint32 { return c.Times }

func gaps(c *core.RolloutCell) []uint32 { return c.Gaps }

// measures lists all measures. A response that is several times slower exceeds twice the median, and four times
// the median if the durations of the route vary little.
var measures = []measure{
	{name: "failures", minExcess: 0.02},
	{name: "time above twice the median", durations: times, slowdown: 2, startsStream: true, minExcess: 0.08},
	{name: "time above four times the median", durations: times, slowdown: 4, startsStream: true, minExcess: 0.04},
	{name: "pause above twice the median", durations: gaps, slowdown: 2, minExcess: 0.08},
	{name: "pause above four times the median", durations: gaps, slowdown: 4, minExcess: 0.04},
}

// threshold returns the entry from which durations count as slow, given the answers of both versions.
func (m measure) threshold(newCell, oldCell *core.RolloutCell) int {
	if m.durations == nil {
		return 0
	}
	slowdown := m.slowdown
	if m.startsStream && len(newCell.Gaps)+len(oldCell.Gaps) > 0 {
		slowdown = max(slowdown, streamSlowdown)
	}
	limit := BucketLimit(median(m.durations(newCell), m.durations(oldCell)))
	return bucketOf(max(time.Duration(slowdown)*limit, limit+minSlowness))
}

// count returns how many answers of a cell have the property, and how many there are.
func (m measure) count(c *core.RolloutCell, threshold int) (bad, all int) {
	if m.durations == nil {
		return min(int(c.Failed), int(c.Ended)), int(c.Ended)
	}
	return countFrom(m.durations(c), threshold), total(m.durations(c))
}
