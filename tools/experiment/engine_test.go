package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idle is a policy for tests that drive the engines themselves.
type idle struct{ finishedAt []time.Duration }

func (p *idle) attach(*simulation)  {}
func (p *idle) arrived(r *request)  {}
func (p *idle) firstToken(*request) {}
func (p *idle) finished(r *request) { p.finishedAt = append(p.finishedAt, r.doneAt) }

func runOnOneEngine(requests ...*request) *measures {
	p := &roundRobinToOne{}
	return simulate(p, requests, 0, time.Hour)
}

// roundRobinToOne sends everything to one engine.
type roundRobinToOne struct {
	idle
	simulation *simulation
}

func (p *roundRobinToOne) attach(s *simulation) { p.simulation = s }
func (p *roundRobinToOne) arrived(r *request)   { p.simulation.send(0, r) }

func TestEngineTimesOneRequest(t *testing.T) {
	r := &request{prompt: 600, output: 3}
	runOnOneEngine(r)
	prefill := 2*stepBase + 600*stepPerPrefill
	require.Equal(t, prefill, r.firstAt)
	require.Equal(t, prefill+2*(stepBase+stepPerDecode), r.doneAt)
}

func TestEnginePreemptsTheYoungestAndLosesNoToken(t *testing.T) {
	older := &request{prompt: 14_000, output: 3000}
	younger := &request{prompt: 14_000, output: 3000}
	m := runOnOneEngine(older, younger)
	require.Equal(t, 1, m.result.Preemptions)
	require.Equal(t, 3000, older.delivered)
	require.Equal(t, 3000, younger.delivered)
	require.Less(t, older.worstGap, stallBound)
	require.Greater(t, younger.worstGap, stallBound)
}

func TestClairvoyantPeakKnowsThatStreamsOverlap(t *testing.T) {
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
		return simulate(newOwner(&m), m.arrivals(7, 40, 20*time.Second), 0, 20*time.Second).result
	}
	require.Equal(t, run(), run())
}
