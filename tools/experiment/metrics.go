package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	stallBound   = 200 * time.Millisecond // a longer gap is a stall, by what it exceeds this
	longestGapUS = int64(3600_000_000)    // bounds the histogram, one hour
)

// measures holds what one run showed after its warm-up.
type measures struct {
	from, to    time.Duration
	preemptions int
	gaps        *hdrhistogram.Histogram // microseconds
	memory      float64                 // sum of the samples of used memory, in shares of all
	samples     int
	result      result
}

func newMeasures(from, to time.Duration) *measures {
	return &measures{from: from, to: to, gaps: hdrhistogram.New(1, longestGapUS, 3)}
}

func (m *measures) within(at time.Duration) bool { return at >= m.from && at <= m.to }

// preempted counts one preemption.
func (m *measures) preempted(now time.Duration) {
	if m.within(now) {
		m.preemptions++
	}
}

// gap records the time between two tokens of one request.
func (m *measures) gap(r *request, gap, now time.Duration) {
	r.worstGap = max(r.worstGap, gap)
	if !m.within(now) {
		return
	}
	r.stall += max(gap-stallBound, 0)
	_ = m.gaps.RecordValue(min(gap.Microseconds(), longestGapUS))
}

// sample records how full the engines' memory is.
func (m *measures) sample(engines []*engine, now time.Duration) {
	if !m.within(now) {
		return
	}
	used := 0
	for _, e := range engines {
		used += e.used
	}
	m.memory += float64(used) / float64(engineMemory*len(engines))
	m.samples++
}

// take reads the requests at the end of the run. A request that is still waiting for its
// next token counts the gap so far.
func (m *measures) take(requests []*request) {
	var firsts, worst []time.Duration
	var stall time.Duration
	res := result{Preemptions: m.preemptions}
	for _, r := range requests {
		if r.doneAt != 0 && m.within(r.doneAt) {
			res.Completed++
			res.CompletedTokens += r.output
		}
		if r.firstAt != 0 && r.doneAt == 0 {
			m.gap(r, m.to-r.lastAt, m.to)
		}
		if !m.within(r.arrival) {
			continue
		}
		res.Arrived++
		switch {
		case r.refused:
			res.Refused++
		case r.firstAt == 0:
			res.NotStarted++
			firsts = append(firsts, m.to-r.arrival)
		default:
			firsts = append(firsts, r.firstAt-r.arrival)
			worst = append(worst, r.worstGap)
			stall += r.stall
		}
	}
	res.MemoryPercent = 100 * m.memory / float64(max(m.samples, 1))
	res.StallMSPerRequest = milliseconds(stall) / float64(max(len(worst), 1))
	res.FirstTokenMeanMS = mean(firsts)
	res.FirstTokenP95MS = quantile(firsts, 0.95)
	res.GapP999MS = float64(m.gaps.ValueAtQuantile(99.9)) / 1000
	res.WorstGapP95MS = quantile(worst, 0.95)
	res.WorstGapP99MS = quantile(worst, 0.99)
	m.result = res
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func mean(values []time.Duration) float64 {
	var sum time.Duration
	for _, value := range values {
		sum += value
	}
	return milliseconds(sum) / float64(max(len(values), 1))
}

func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return milliseconds(values[min(int(q*float64(len(values))), len(values)-1)])
}
