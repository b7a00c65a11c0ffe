package edgecontrol

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/message"
)

const paceGoal = 180 * time.Millisecond

// paceRecorder counts what is recorded of the pace.
type paceRecorder struct {
	summaries []pace.Summary
	avoided   int
}

func (r *paceRecorder) EnginePace(_ core.PoolID, summary pace.Summary) {
	r.summaries = append(r.summaries, summary)
}

func (r *paceRecorder) PlacementAvoided(core.PoolID) { r.avoided++ }

func paceConfig(learns bool) *core.RoutingConfig {
	config := engineConfig(3)
	config.Pools[0].LearnPace, config.Pools[0].Engine.EventTokens = learns, 4
	return config
}

// newPaceHub returns a hub with two engines.
func newPaceHub(learns bool) (*hubState, *paceRecorder) {
	h, recorder := newHubState(), &paceRecorder{}
	h.options.PaceMetrics = recorder
	h.read(paceConfig(learns), engines(2))
	return h, recorder
}

// report plays reports of a subscriber: e0 is slow and its pauses are late, e1 is fast.
func (h *hubState) report(length time.Duration) {
	for end := h.clock + length; h.clock < end; h.clock += paceReportInterval {
		h.handleHostLoad("subscriber", message.HostLoad{Pace: []message.TargetPace{
			{Target: "e0", Events: 20, Time: 20 * 170 * time.Millisecond, Late: 4, Longest: 190 * time.Millisecond, Goal: paceGoal},
			{Target: "e1", Events: 60, Time: 60 * 40 * time.Millisecond, Longest: 60 * time.Millisecond, Goal: paceGoal},
			{Target: "gone", Events: 60, Time: time.Second, Longest: time.Second, Goal: paceGoal},
		}})
		h.balancer.Expire(h.clock)
		h.tickPace()
	}
}

// placeFor asks the hub for a target and returns it.
func (h *hubState) placeFor(t *testing.T, m message.PlacementRequest) core.TargetID {
	t.Helper()
	h.sent = nil
	m.Pool = "llm"
	h.handlePlacementRequest("subscriber", m)
	require.Len(t, h.sent, 1)
	return h.sent[0].(message.PlacementResponse).Target
}

// slowPlacements counts how many of 100 streams the slow engine gets.
func (h *hubState) slowPlacements(t *testing.T, goal time.Duration) int {
	count := 0
	for i := range uint64(100) {
		if h.placeFor(t, message.PlacementRequest{Number: i, Request: string(rune('a' + i)), Memory: 3750, Prompt: 3000, GapGoal: goal}) == "e0" {
			count++
		}
		h.balancer.ForgetPeer("subscriber") // each stream meets idle engines
	}
	return count
}

// What a subscriber reports must reach the placement, and an operator must see that.
func TestReportedPaceDecidesPlacement(t *testing.T) {
	h, recorder := newPaceHub(true)
	require.InDelta(t, 50, h.slowPlacements(t, paceGoal), 20, "nothing is known yet")
	h.report(6 * time.Second)
	require.Zero(t, h.slowPlacements(t, paceGoal))
	require.Zero(t, recorder.avoided, "of engines with equal load none is avoided")
	h.balancer.Add("e1", placement.Load{Requests: 2, Memory: 7500})
	require.Zero(t, h.slowPlacements(t, paceGoal))
	require.Equal(t, 100, recorder.avoided)
	h.balancer.Remove("e1", placement.Load{Requests: 2, Memory: 7500})
	require.NotEmpty(t, recorder.summaries)
	last := recorder.summaries[len(recorder.summaries)-1]
	require.Equal(t, 2, last.Engines, "an engine that is not registered counts")
	require.Greater(t, last.Slowest, 2*last.Fastest)
	require.InDelta(t, 50, h.slowPlacements(t, 0), 20, "the pace counts for a request without a goal")
}

// A host that becomes a hub knows no pace; the reports of its subscribers must restore it in seconds.
func TestNewHubLearnsPaceInSeconds(t *testing.T) {
	h, _ := newPaceHub(true)
	h.report(2 * time.Second)
	require.Zero(t, h.slowPlacements(t, paceGoal))
}

// An engine that has restarted may be another machine.
func TestRestartedEngineHasNoPace(t *testing.T) {
	h, _ := newPaceHub(true)
	h.report(6 * time.Second)
	h.balancer.Add("e1", placement.Load{Requests: 4, Memory: 15_000})
	require.Zero(t, h.slowPlacements(t, paceGoal))
	all := engines(2)
	all[0].Revision, all[0].Born = 20, all[0].Born+1
	h.read(nil, all)
	require.Positive(t, h.slowPlacements(t, paceGoal))
}

// Without the pool's flag, reports and goals of hosts that have it must change nothing.
func TestPaceIsIgnoredWithoutTheFlag(t *testing.T) {
	h, recorder := newPaceHub(false)
	h.report(6 * time.Second)
	require.InDelta(t, 50, h.slowPlacements(t, paceGoal), 20)
	require.Zero(t, recorder.avoided)
	require.Empty(t, recorder.summaries)
	_, known := h.balancer.PaceSummary("llm")
	require.False(t, known)
}

// Messages without pace must be the same bytes as before, for hosts that know no pace and for the links' budget.
func TestMessagesWithoutPaceAreAsBefore(t *testing.T) {
	type formerLoad struct {
		Targets       []message.HostTargetLoad `cbor:"1,keyasint"`
		LastPlacement uint64                   `cbor:"2,keyasint"`
		Outcomes      []message.TargetOutcomes `cbor:"3,keyasint,omitempty"`
	}
	targets := []message.HostTargetLoad{{Target: "e0", Requests: 2, Memory: 7000}}
	got, err := cbor.Marshal(message.HostLoad{Targets: targets, LastPlacement: 7})
	require.NoError(t, err)
	want, err := cbor.Marshal(formerLoad{Targets: targets, LastPlacement: 7})
	require.NoError(t, err)
	require.Equal(t, want, got)
	var former formerLoad
	withPace, err := cbor.Marshal(message.HostLoad{Targets: targets, LastPlacement: 7, Pace: []message.TargetPace{{Target: "e0", Events: 3, Time: time.Second, Goal: paceGoal}}})
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(withPace, &former), "a host without pace cannot read a report")
	require.Equal(t, formerLoad{Targets: targets, LastPlacement: 7}, former)

	without, err := cbor.Marshal(message.PlacementRequest{Number: 1, Pool: "llm"})
	require.NoError(t, err)
	var fields map[int]any
	require.NoError(t, cbor.Unmarshal(without, &fields))
	require.NotContains(t, fields, 18)
}

// sentPace returns the pace in the reports that were sent since the last call.
func (h *hubState) sentPace() (reports int, all []message.TargetPace) {
	for _, m := range h.sent {
		if load, ok := m.(message.HostLoad); ok {
			reports++
			all = append(all, load.Pace...)
		}
	}
	h.sent = nil
	return reports, all
}

// A report for each event would use up the links; a late pause that waits for a second would be too late to avoid the
// engine.
func TestSubscriberReportsPaceNowAndThen(t *testing.T) {
	h := newHubState()
	h.read(paceConfig(true), engines(2))
	h.subscribe()
	require.Equal(t, core.HostID("b"), h.hub)
	h.sendLoad()
	h.sent = nil
	sums := pace.Sums{Events: 5, Time: 200 * time.Millisecond, Longest: 50 * time.Millisecond, Goal: paceGoal}
	var all []message.TargetPace
	reports, events := 0, 0
	for range 30 {
		paceEvent{target: "e0", sums: sums}.apply(h.state)
		events += sums.Events
		h.tickPace()
		h.sendLoad()
		n, sent := h.sentPace()
		reports, all = reports+n, append(all, sent...)
		h.clock += tickInterval
	}
	require.InDelta(t, 10, reports, 2)
	sum := 0
	for _, m := range all {
		sum += m.Events
	}
	require.GreaterOrEqual(t, sum, events-4*sums.Events, "events are lost")
	require.LessOrEqual(t, sum, events, "events are reported twice")
	_, known := h.balancer.PaceSummary("llm")
	require.False(t, known, "a subscriber learns from its own part of the load")

	h.sendLoad()
	h.sent = nil
	sums.Late = 1
	paceEvent{target: "e1", sums: sums}.apply(h.state)
	h.sendLoad()
	_, sent := h.sentPace()
	require.Contains(t, sent, message.TargetPace{Target: "e1", Events: 5, Time: sums.Time, Late: 1, Longest: sums.Longest, Goal: paceGoal})

	h.sendLoad()
	n, _ := h.sentPace()
	require.Zero(t, n, "a load that has not changed is reported again at once")
}

// A host without a hub places by itself, and must learn from its own streams without keeping them for ever.
func TestHostWithoutHubLearnsByItself(t *testing.T) {
	h, _ := newPaceHub(true)
	for range 30 {
		paceEvent{target: "e0", sums: pace.Sums{Events: 20, Time: 800 * time.Millisecond, Longest: 50 * time.Millisecond, Goal: paceGoal}}.apply(h.state)
		h.tickPace()
		h.balancer.Expire(h.clock)
		h.clock += tickInterval
	}
	_, known := h.balancer.PaceSummary("llm")
	require.True(t, known)
	require.LessOrEqual(t, h.pace.unsent["e0"].Events, 3*20)
}
