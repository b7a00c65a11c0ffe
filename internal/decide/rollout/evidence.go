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

const (
	// leastNew and leastOld are the answers that a table has at the least. With fewer, following windows are joined:
	// most tables of a route with little traffic would say nothing.
	leastNew = 4
	leastOld = 12
)

// compare returns tables of some strata, from a window on. Which windows a table joins depends on the number of
// answers only, not on what they are, so the tests stay exact.
func (e *evidence) compare(m measure, strata []stratum, from uint32) []comparison {
	var tables []comparison
	for _, s := range strata {
		windows := slices.DeleteFunc(slices.Sorted(maps.Keys(e.windows[s])), func(w uint32) bool { return w < from })
		for len(windows) > 0 {
			n := e.tableSize(s, windows)
			if t := e.table(m, s, windows[:n]); t.newAll > 0 && t.oldAll > 0 {
				tables = append(tables, t)
			}
			windows = windows[n:]
		}
	}
	return tables
}

// tableSize returns the number of windows that the next table joins. What is left behind it must be enough for
// another table.
func (e *evidence) tableSize(s stratum, windows []uint32) int {
	ends := func(from int) int {
		newAll, oldAll := 0, 0
		for i := from; i < len(windows); i++ {
			newAll += e.answersIn(s, windows[i], true)
			oldAll += e.answersIn(s, windows[i], false)
			if newAll >= leastNew && oldAll >= leastOld {
				return i + 1
			}
		}
		return 0
	}
	n := ends(0)
	if n == 0 || ends(n) == 0 {
		return len(windows)
	}
	return n
}

func (e *evidence) answersIn(s stratum, window uint32, isNew bool) int {
	if c := e.cells[cellKey{stratum: s, window: window, isNew: isNew}]; c != nil {
		return answersOf(c)
	}
	return 0
}

// table joins windows to one table.
func (e *evidence) table(m measure, s stratum, windows []uint32) comparison {
	var sums [2]core.RolloutCell
	for _, w := range windows {
		for i, isNew := range []bool{true, false} {
			if c := e.cells[cellKey{stratum: s, window: w, isNew: isNew}]; c != nil {
				sums[i].Ended, sums[i].Failed = sums[i].Ended+c.Ended, sums[i].Failed+c.Failed
				sums[i].Times, sums[i].Gaps = addBuckets(sums[i].Times, c.Times), addBuckets(sums[i].Gaps, c.Gaps)
			}
		}
	}
	threshold := m.threshold(&sums[0], &sums[1])
	t := comparison{}
	t.newBad, t.newAll = m.count(&sums[0], threshold)
	t.oldBad, t.oldAll = m.count(&sums[1], threshold)
	for _, w := range windows {
		if bad, _ := m.count(e.cells[cellKey{stratum: s, window: w, isNew: true}], threshold); bad > 0 {
			t.badWindows = append(t.badWindows, w)
		}
	}
	return t
}

// latest returns the latest window with answers of the new version.
func (e *evidence) latest() uint32 {
	last := uint32(0)
	for _, windows := range e.windows {
		for w := range windows {
			last = max(last, w)
		}
	}
	return last
}
