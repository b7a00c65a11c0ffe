package rollout

import (
	"cmp"
	"maps"
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// evidence holds the results of all hosts by version and stratum.
type evidence struct {
	cells map[cellKey]*core.RolloutCell
}

func newEvidence() *evidence { return &evidence{cells: map[cellKey]*core.RolloutCell{}} }

// add adds the counts of a cell.
func (e *evidence) add(c *core.RolloutCell) {
	key := keyOf(c)
	sum := e.cells[key]
	if sum == nil {
		sum = &core.RolloutCell{Route: c.Route, Remote: c.Remote, New: c.New}
		e.cells[key] = sum
	}
	sum.Ended += c.Ended
	sum.Failed += c.Failed
	sum.Times = addBuckets(sum.Times, c.Times)
	sum.Gaps = addBuckets(sum.Gaps, c.Gaps)
}

func keyOf(c *core.RolloutCell) cellKey {
	return cellKey{stratum: stratum{route: c.Route, remote: c.Remote}, isNew: c.New}
}

// strata lists all strata in a fixed order.
func (e *evidence) strata() []stratum {
	set := map[stratum]bool{}
	for key := range e.cells {
		set[key.stratum] = true
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b stratum) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(boolInt(a.remote), boolInt(b.remote)))
	})
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// compare counts the answers with a property in one stratum.
func (e *evidence) compare(m measure, s stratum) comparison {
	return m.compare(e.cells[cellKey{stratum: s, isNew: true}], e.cells[cellKey{stratum: s}])
}

// judged returns the number of answers of the new version and of failures among them.
func (e *evidence) judged() (answers, failed uint64) {
	for key, c := range e.cells {
		if key.isNew {
			answers, failed = answers+uint64(answersOf(c)), failed+uint64(c.Failed)
		}
	}
	return answers, failed
}

// answersOf returns the number of answers in a cell. A stream that has begun counts, though it has not ended.
func answersOf(c *core.RolloutCell) int { return max(int(c.Ended), total(c.Times)) }
