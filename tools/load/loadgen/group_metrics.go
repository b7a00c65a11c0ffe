package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedTime is the upper limit of the histograms; longer times are recorded as this.
	maxRecordedTime = 30 * time.Minute
	// totalDigits and groupDigits are the significant digits of the histograms. Those of
	// single classes and teams are coarser, because there may be thousands of teams.
	totalDigits = 3
	groupDigits = 2
)

// groupMetrics aggregates the samples of one group of requests.
type groupMetrics struct {
	group      GroupStats              // counts only; result adds the other statistics
	stall      *hdrhistogram.Histogram // microseconds, as in all histograms below
	gaps       *hdrhistogram.Histogram
	largest    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	stalled    time.Duration // sum of the stall time of all samples
}

func newGroupMetrics(digits int) *groupMetrics {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxRecordedTime.Microseconds(), digits)
	}
	return &groupMetrics{
		group:      GroupStats{Outcomes: map[string]int{}},
		stall:      histogram(),
		gaps:       histogram(),
		largest:    histogram(),
		firstToken: histogram(),
	}
}

// add counts one sample. A request without a token counts only by its outcome and its
// resumptions.
func (m *groupMetrics) add(s *sample) {
	m.group.Requests++
	m.group.Outcomes[s.outcome()]++
	m.group.Resumed += s.resumed
	if s.tokenCount() == 0 {
		return
	}
	if s.err == nil {
		m.group.CompletedTokens += s.tokenCount()
	}
	record(m.firstToken, s.firstToken)
	if s.firstToken > firstTokenBound {
		m.group.LateFirstTokens++
	}
	m.addGaps(s)
}

// addGaps records the token gaps and the stall time of one sample.
func (m *groupMetrics) addGaps(s *sample) {
	stall := s.stall()
	record(m.stall, stall)
	m.stalled += stall
	if stall > 0 {
		m.group.StalledRequests++
	}
	var largest time.Duration
	for _, gap := range s.gaps {
		record(m.gaps, gap)
		largest = max(largest, gap)
		if gap > gapBound {
			m.group.GapsOverBound++
		}
	}
	if len(s.gaps) > 0 {
		record(m.largest, largest)
	}
}

// record adds a duration to a histogram, at most maxRecordedTime.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d, maxRecordedTime).Microseconds()) // cannot fail: the value is capped to the range
}

// result returns the statistics of the group over a run of the given duration.
func (m *groupMetrics) result(elapsed time.Duration) GroupStats {
	g := m.group
	g.CompletedTokensPerS = float64(g.CompletedTokens) / elapsed.Seconds()
	g.Stall = newQuantiles(m.stall)
	g.StalledS = m.stalled.Seconds()
	g.TokenGap = newQuantiles(m.gaps)
	g.LargestGap = newQuantiles(m.largest)
	g.FirstToken = newQuantiles(m.firstToken)
	return g
}
