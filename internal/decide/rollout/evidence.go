package rollout

import (
	"cmp"
	"maps"
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// evidence holds the results of all hosts by version, stratum and window.
type evidence struct {
	cells map[cellKey]*core.RolloutCell
	// windows lists the windows in which a stratum has answers of the new version.
	windows  map[stratum]map[uint32]bool
	answers  map[stratum]uint64 // of the new version
	judged   uint64             // answers of the new version in all strata
	failures uint64             // among them
}

func newEvidence() *evidence {
	return &evidence{cells: map[cellKey]*core.RolloutCell{}, windows: map[stratum]map[uint32]bool{}, answers: map[stratum]uint64{}}
}

// add adds the counts of a cell.
func (e *evidence) add(c *core.RolloutCell) {
	key := keyOf(c)
	sum := e.cells[key]
	if sum == nil {
		sum = &core.RolloutCell{Route: c.Route, Remote: c.Remote, New: c.New, Window: c.Window}
		e.cells[key] = sum
	}
	before := answersOf(sum)
	sum.Ended += c.Ended
	sum.Failed += c.Failed
	sum.Times = addBuckets(sum.Times, c.Times)
	sum.Gaps = addBuckets(sum.Gaps, c.Gaps)
	if !key.isNew {
		return
	}
	if e.windows[key.stratum] == nil {
		e.windows[key.stratum] = map[uint32]bool{}
	}
	e.windows[key.stratum][key.window] = true
	more := uint64(answersOf(sum) - before)
	e.answers[key.stratum] += more
	e.judged += more
	e.failures += uint64(c.Failed)
}

// answersOf returns the number of answers in a cell. A stream that has begun counts, though it has not ended.
func answersOf(c *core.RolloutCell) int { return max(int(c.Ended), total(c.Times)) }

func keyOf(c *core.RolloutCell) cellKey {
	return cellKey{stratum: stratum{route: c.Route, remote: c.Remote}, window: c.Window, isNew: c.New}
}

// strata lists all strata with answers of the new version in a fixed order.
func (e *evidence) strata() []stratum {
	return slices.SortedFunc(maps.Keys(e.windows), func(a, b stratum) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(boolInt(a.remote), boolInt(b.remote)))
	})
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// compare returns a table for each window of some strata in which both versions have answers.
func (e *evidence) compare(m measure, strata []stratum) []comparison {
	var tables []comparison
	for _, s := range strata {
		for _, w := range slices.Sorted(maps.Keys(e.windows[s])) {
			t := m.compare(e.cells[cellKey{stratum: s, window: w, isNew: true}], e.cells[cellKey{stratum: s, window: w}])
			if t.newAll > 0 && t.oldAll > 0 {
				t.window = w
				tables = append(tables, t)
			}
		}
	}
	return tables
}
