package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noopPolicy ignores arrivals and records when requests end. Policies for tests embed it.
type noopPolicy struct{ finishedAt []time.Duration }

func (p *noopPolicy) attach(*simulation)  {}
func (p *noopPolicy) arrived(r *request)  {}
func (p *noopPolicy) firstToken(*request) {}
func (p *noopPolicy) finished(r *request) { p.finishedAt = append(p.finishedAt, r.completedAt) }

func runOnOneEngine(requests ...*request) *metrics {
	p := &singleEnginePolicy{}
	return simulate(p, requests, 0, time.Hour)
}

// singleEnginePolicy sends every request to the first engine.
type singleEnginePolicy struct {
	noopPolicy
	simulation *simulation
}

func (p *singleEnginePolicy) attach(s *simulation) { p.simulation = s }
func (p *singleEnginePolicy) arrived(r *request)   { p.simulation.send(0, r) }

func TestEngineTimingOfOneRequest(t *testing.T) {
	r := &request{prompt: 600, output: 3}
	runOnOneEngine(r)
	prefill := 2*stepBase + 600*stepPerPrefill
	require.Equal(t, prefill, r.firstTokenAt)
	require.Equal(t, prefill+2*(stepBase+stepPerDecode), r.completedAt)
}

func TestEnginePreemptsLastAdmittedWithoutTokenLoss(t *testing.T) {
	older := &request{prompt: 14_000, output: 3000}
	younger := &request{prompt: 14_000, output: 3000}
	m := runOnOneEngine(older, younger)
	require.Equal(t, 1, m.result.Preemptions)
	require.Equal(t, 3000, older.delivered)
	require.Equal(t, 3000, younger.delivered)
	require.Less(t, older.worstGap, gapBound)
	require.Greater(t, younger.worstGap, gapBound)
}

func TestFuturePeakCountsOverlappingStreams(t *testing.T) {
	e := &engine{running: []*stream{
		{request: &request{prompt: 100, output: 10}},
		{request: &request{prompt: 100, output: 50}},
	}}
	peak := futurePeak(e, &request{prompt: 100, output: 10})
	require.Equal(t, 330, peak)
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	run := func() result {
		m := mixes()[0]
		return simulate(newSiskintidePolicy(&m), m.arrivals(7, 40, 20*time.Second), 0, 20*time.Second).result
	}
	require.Equal(t, run(), run())
}
