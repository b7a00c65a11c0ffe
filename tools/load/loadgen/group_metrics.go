package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTracked is the longest time that a histogram tells apart.
	maxTracked = 30 * time.Minute
	// totalDigits and groupDigits are significant digits of histograms. Those of single
	// groups are coarser, because there may be thousands.
	totalDigits = 3
	groupDigits = 2
)

// measures collects samples of one group.
type measures struct {
	group      GroupStats
	stall      *hdrhistogram.Histogram // microseconds, as all
	gaps       *hdrhistogram.Histogram
	largest    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	stalled    time.Duration
}

func newMeasures(digits int) *measures {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxTracked.Microseconds(), digits)
	}
	return &measures{
		group:      GroupStats{Outcomes: map[string]int{}},
		stall:      histogram(),
		gaps:       histogram(),
		largest:    histogram(),
		firstToken: histogram(),
	}
}

// add counts one sample. Requests without a token count only by their outcome.
func (m *measures) add(s *sample) {
	m.group.Requests++
	m.group.Outcomes[s.outcome()]++
	m.group.Resumed += s.resumed
	if s.tokens() == 0 {
		return
	}
	if s.err == nil {
		m.group.CompletedTokens += s.tokens()
	}
	record(m.firstToken, s.firstToken)
	if s.firstToken > firstTokenBound {
		m.group.LateFirstTokens++
	}
	m.addGaps(s)
}

// addGaps counts the token gaps of one sample.
func (m *measures) addGaps(s *sample) {
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

// record counts a time, or the longest one that the histogram tells apart.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d, maxTracked).Microseconds()) // the bound keeps it in range
}

// result summarises the group over a run of the given length.
func (m *measures) result(elapsed time.Duration) GroupStats {
	g := m.group
	g.CompletedTokensPerS = float64(g.CompletedTokens) / elapsed.Seconds()
	g.Stall = newQuantiles(m.stall)
	g.StalledS = m.stalled.Seconds()
	g.TokenGap = newQuantiles(m.gaps)
	g.LargestGap = newQuantiles(m.largest)
	g.FirstToken = newQuantiles(m.firstToken)
	return g
}
