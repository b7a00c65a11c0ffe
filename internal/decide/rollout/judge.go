package rollout

import (
	"math"
)

const (
	// sequentialError bounds the probability that a version which does not differ from the old one is rolled
	// back by the tests that are made while answers arrive. It is divided by all of them: by the strata, the
	// measures, and the times at which a test is repeated.
	sequentialError = 0.01
	// finalError bounds the same for the tests made once before traffic moves, and once more before completion. They see
	// all answers at once and so find what the sequential tests are too strict for.
	finalError = 0.02
	// nominalStrata is the number of strata among which the errors are divided, if there are not more.
	nominalStrata = 8
	// firstLook is the number of answers in a stratum at which it is tested first; it is tested again each
	// time that there are lookGrowth as many.
	firstLook  = 4
	lookGrowth = 1.4
)

// judge tests whether a new version is worse than the old one, while answers arrive. All tests of a version
// together keep the stated errors, since each of them is exact.
type judge struct {
	looks map[stratum]int // tests made by stratum; the zero stratum stands for all together
}

func newJudge() *judge { return &judge{looks: map[stratum]int{}} }

// examine makes the tests that are due, and returns what speaks against the new version, or nil.
func (j *judge) examine(e *evidence) *finding {
	strata := e.strata()
	for _, s := range strata {
		answers := int(e.answers[s])
		if level, due := j.look(s, answers, len(strata)); due {
			if found := e.test([]stratum{s}, level, 0); found != nil {
				found.route = s.route
				return found
			}
		}
	}
	if level, due := j.look(stratum{}, int(e.judged), len(strata)); due {
		return e.testAll(strata, level)
	}
	return nil
}

// testAll tests strata together: over all windows, and over the later half, where a fault that shows late is not diluted.
// Each test has half of the level.
func (e *evidence) testAll(strata []stratum, level float64) *finding {
	if found := e.test(strata, level/2, 0); found != nil {
		return found
	}
	return e.test(strata, level/2, e.latest()/2+1)
}

// examineFinally makes the tests before a decision that cannot be taken back.
func (j *judge) examineFinally(e *evidence) *finding {
	strata := e.strata()
	level := finalError / float64(2*len(measures))
	if found := e.testAll(strata, level); found != nil {
		return found
	}
	for _, s := range strata {
		if found := e.test([]stratum{s}, level/float64(max(len(strata), 1)), 0); found != nil {
			found.route = s.route
			return found
		}
	}
	return nil
}

// look reports whether a test is due, and at which level of significance. The level of the k-th test is
// proportional to 1/k², so that the sum over any number of tests is bounded.
func (j *judge) look(s stratum, answers, strata int) (level float64, due bool) {
	next := j.looks[s]
	if float64(answers) < firstLook*math.Pow(lookGrowth, float64(next)) {
		return 0, false
	}
	for float64(answers) >= firstLook*math.Pow(lookGrowth, float64(next)) {
		next++
	}
	j.looks[s] = next
	tests := 2 * float64(len(measures)) // half of the error is for the tests of all strata together
	if s != (stratum{}) {
		tests *= float64(max(strata, nominalStrata))
	}
	return sequentialError / tests * 6 / (math.Pi * math.Pi * float64(next) * float64(next)), true
}

// test compares the versions in some strata together by each measure, at a level of significance for each,
// from a window on.
func (e *evidence) test(strata []stratum, level float64, from uint32) *finding {
	for _, m := range measures {
		tables := e.compare(m, strata, from)
		sum, windows := summarise(tables)
		if sum.newBad == 0 || windows < minWindows && sum.newBad < manyBad || excess(tables) < m.minExcess {
			continue
		}
		if p := tailProbability(tables); p < level {
			return &finding{measure: m.name, table: sum, probability: p}
		}
	}
	return nil
}

const (
	// minWindows is the least number of windows in which the new version must have bad answers, unless it has
	// manyBad of them. A target that stands still once has several requests at that moment, and they are no
	// independent evidence.
	minWindows = 2
	manyBad    = 20
)

// summarise returns the sums of tables, and the number of windows with bad answers of the new version.
func summarise(tables []comparison) (comparison, int) {
	sum, windows := comparison{}, map[uint32]bool{}
	for _, t := range tables {
		sum.newBad, sum.newAll = sum.newBad+t.newBad, sum.newAll+t.newAll
		sum.oldBad, sum.oldAll = sum.oldBad+t.oldBad, sum.oldAll+t.oldAll
		for _, w := range t.badWindows {
			windows[w] = true
		}
	}
	return sum, len(windows)
}

// excess returns the mean over tables of the difference between the versions, by the new version's answers.
func excess(tables []comparison) float64 {
	sum, answers := 0.0, 0
	for _, t := range tables {
		sum, answers = sum+t.excess()*float64(t.newAll), answers+t.newAll
	}
	return sum / float64(max(answers, 1))
}
