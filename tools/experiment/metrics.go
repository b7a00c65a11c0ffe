package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	gapBound     = 200 * time.Millisecond // the part of a token gap beyond this is stall time
	longestGapUS = int64(3600_000_000)    // one hour, the upper limit of the histogram
)

// metrics collects the measurements of one run between from and to, that is, after its
// warm-up.
type metrics struct {
	from, to      time.Duration
	preemptions   int
	gaps          *hdrhistogram.Histogram // microseconds
	memorySum     float64                 // sum of the samples of used memory, as fractions of all engines' memory
	memorySamples int
	result        result
}

func newMetrics(from, to time.Duration) *metrics {
	return &metrics{from: from, to: to, gaps: hdrhistogram.New(1, longestGapUS, 3)}
}

func (m *metrics) inWindow(at time.Duration) bool { return at >= m.from && at <= m.to }

// recordPreemption counts one preemption.
func (m *metrics) recordPreemption(now time.Duration) {
	if m.inWindow(now) {
		m.preemptions++
	}
}

// recordGap records the time between two tokens of one request.
func (m *metrics) recordGap(r *request, gap, now time.Duration) {
	r.worstGap = max(r.worstGap, gap)
	if !m.inWindow(now) {
		return
	}
	r.stall += max(gap-gapBound, 0)
	_ = m.gaps.RecordValue(min(gap.Microseconds(), longestGapUS))
}

// sampleMemory records the used fraction of the engines' memory.
func (m *metrics) sampleMemory(engines []*engine, now time.Duration) {
	if !m.inWindow(now) {
		return
	}
	used := 0
	for _, e := range engines {
		used += e.memoryUsed
	}
	m.memorySum += float64(used) / float64(engineMemory*len(engines))
	m.memorySamples++
}

// summarise computes the result from the requests at the end of the run. For a stream that
// has not ended, the time since its last token counts as a gap.
func (m *metrics) summarise(requests []*request) {
	var firsts, worst []time.Duration
	var stall time.Duration
	res := result{Preemptions: m.preemptions}
	for _, r := range requests {
		if r.completedAt != 0 && m.inWindow(r.completedAt) {
			res.Completed++
			res.CompletedTokens += r.output
		}
		if r.firstTokenAt != 0 && r.completedAt == 0 {
			m.recordGap(r, m.to-r.lastTokenAt, m.to)
		}
		if !m.inWindow(r.arrival) {
			continue
		}
		res.Arrived++
		switch {
		case r.refused:
			res.Refused++
		case r.firstTokenAt == 0:
			res.NotStarted++
			firsts = append(firsts, m.to-r.arrival)
		default:
			firsts = append(firsts, r.firstTokenAt-r.arrival)
			worst = append(worst, r.worstGap)
			stall += r.stall
		}
	}
	res.MemoryPercent = 100 * m.memorySum / float64(max(m.memorySamples, 1))
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
