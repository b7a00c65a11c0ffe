package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/routetable"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// placingController records the placements that are asked for, and assigns no target.
type placingController struct {
	Controller
	view   *edgecontrol.View
	placed []edgecontrol.PlacementRequest
}

func (c *placingController) View() *edgecontrol.View { return c.view }

func (c *placingController) Place(_ context.Context, request edgecontrol.PlacementRequest) (edgecontrol.Assignment, bool) {
	c.placed = append(c.placed, request)
	return edgecontrol.Assignment{}, false
}

func (c *placingController) Release(edgecontrol.Assignment, placement.Outcome) {}

func (c *placingController) RecordRateLimit(core.TargetID, *float64, bool, time.Duration) {}

func (c *placingController) MarkLeaving(core.TargetID) {}

// silentMetrics drops all figures.
type silentMetrics struct{ Metrics }

func (silentMetrics) RequestEnded(core.TeamID, core.Class, string, time.Duration) {}

func (silentMetrics) Resumed(core.TeamID, core.Class, string, string) {}

// newTestUpstream returns an upstream that has ended, at a target.
func newTestUpstream(target core.TargetID) *upstream {
	u := &upstream{cancel: func() {}, header: http.Header{}, done: make(chan struct{})}
	u.assignment.Target.Target = target
	close(u.done)
	return u
}

// newTestRelay returns the relay of a resumable stream that has been sent to one engine, which has not responded.
func newTestRelay(controller Controller) *streamRelay {
	logger := &log.Logger{Handler: discard.New()}
	w := httptest.NewRecorder()
	h := &requestHandler{
		gateway: New(Options{Controller: controller, Metrics: silentMetrics{}, Log: logger, Clock: func() time.Duration { return time.Second }, Stopping: context.Background()}),
		w:       w, r: httptest.NewRequest(http.MethodPost, "/", nil), log: logger, view: controller.View(),
		route: &core.Route{Kind: core.RouteStream, Resumable: true, MaxAttempts: 4}, deadline: time.Minute,
	}
	s := &streamRelay{
		requestHandler: h, ctx: context.Background(), responseController: http.NewResponseController(w),
		moveResults: make(chan moveResult, 1), reportResults: make(chan reportResult, 1), tried: []core.TargetID{"first"},
	}
	s.prepareResumption()
	s.failover = failover.New(s.timing(), false, true, 0)
	s.failover.UseReruns(s.reruns)
	s.current = newTestUpstream("first")
	return s
}

// TestRerunAfterSwitchIsARetry guards against a request that is sent again beyond the retry budget: the first engine
// was left before it responded, the engine with the copy went on and failed as well.
func TestRerunAfterSwitchIsARetry(t *testing.T) {
	controller := &placingController{view: &edgecontrol.View{Table: &routetable.Table{Config: &core.RoutingConfig{}}}}
	s := newTestRelay(controller)
	s.next = newTestUpstream("copy")
	require.False(t, s.handleNextMessage(upstreamMessage{kind: upstreamOpened}))
	require.True(t, s.headerSent)
	require.False(t, s.handleMessage(upstreamMessage{kind: upstreamFailed, err: &TruncatedStreamError{}}))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { s.applyNextStep(controller.view) })
	require.Len(t, controller.placed, 1)
	require.True(t, controller.placed[0].Retry, "the retry budget was not asked")
	require.False(t, controller.placed[0].MayWait)
	require.Equal(t, 1, s.attempts)
}

// TestPauseOfRerunIsNotMeasured guards against a pause between two engines, and pauses of the former one, that count
// against the engine, and so the version, that goes on with the stream.
func TestPauseOfRerunIsNotMeasured(t *testing.T) {
	s := newTestRelay(&placingController{view: &edgecontrol.View{Table: &routetable.Table{Config: &core.RoutingConfig{}}}})
	s.events, s.firstEventAt, s.lastEventAt = 3, time.Second, 3*time.Second
	require.Equal(t, time.Second, s.meanPause())
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		s.headerSent = true
		s.rerun("first", io.ErrUnexpectedEOF.Error())
	})
	require.Zero(t, s.meanPause())
}

// TestRerunAvoidsEngineOfFailedSwitch guards against a request that is sent again to the engine that has just failed to go
// on with it from its copy.
func TestRerunAvoidsEngineOfFailedSwitch(t *testing.T) {
	for name, failure := range map[string]upstreamMessage{
		"broken off": {kind: upstreamFailed, err: &ExchangeError{Phase: phaseRequest, Cause: io.ErrUnexpectedEOF}},
		"failed":     {kind: upstreamOpened, response: &bufferedResponse{status: http.StatusInternalServerError}},
	} {
		t.Run(name, func(t *testing.T) {
			controller := &placingController{view: &edgecontrol.View{Table: &routetable.Table{Config: &core.RoutingConfig{}}}}
			s := newTestRelay(controller)
			s.headerSent = true
			s.next = newTestUpstream("copy")
			s.failover.RecordEvent(s.now())
			s.failover.RecordDisconnect()
			require.Equal(t, failover.SwitchToCopy, s.failover.Next(s.now()).Kind)
			require.False(t, s.handleNextMessage(failure))
			if failure.kind == upstreamFailed {
				require.Equal(t, failover.StopFailedSwitch, s.failover.Next(s.now()).Kind)
				s.failover.RecordRunStop(failover.StoppedOnly, s.now())
			}
			require.PanicsWithValue(t, http.ErrAbortHandler, func() { s.applyNextStep(controller.view) })
			require.Len(t, controller.placed, 1)
			require.ElementsMatch(t, []core.TargetID{"first", "copy"}, controller.placed[0].Request.Avoid)
		})
	}
}

// TestPauseOfRerunIsNotTheFormerEngines guards against the pause until another engine goes on, which counts as late at the
// engine that was left, so that placement takes it for slow.
func TestPauseOfRerunIsNotTheFormerEngines(t *testing.T) {
	s := newTestRelay(&placingController{view: &edgecontrol.View{Table: &routetable.Table{Config: &core.RoutingConfig{}}}})
	s.headerSent = true
	s.pace = streamPace{goal: 180 * time.Millisecond}
	s.pace.event("first", time.Second, time.Second)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { s.rerun("first", io.ErrUnexpectedEOF.Error()) })
	require.False(t, s.pace.overdue(3*time.Second))
	require.Zero(t, s.pace.late)
	s.pace.event("second", 3*time.Second, 3*time.Second)
	require.Zero(t, s.pace.sums.Events, "the pause is not that of the second engine either")
	s.pace.event("second", 3100*time.Millisecond, 3100*time.Millisecond)
	require.Equal(t, 1, int(s.pace.sums.Events))
}
