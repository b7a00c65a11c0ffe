package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operator/operatortest"
	"siskintide.example/siskintide/internal/operatorapi"
	"siskintide.example/siskintide/internal/settings"
	"siskintide.example/siskintide/internal/snapshot"
)

const testKey = "operator-key-operator-key-operator-key"

// bench is one host with its platform.
type bench struct {
	t       *testing.T
	store   *operatortest.Store
	state   *operatortest.State
	handler http.Handler
	key     string
}

func newBench(t *testing.T, load plan.Load, hosts ...snapshot.HostView) *bench {
	b := &bench{t: t, store: operatortest.NewStore(), key: testKey}
	b.state = operatortest.NewState(core.Host{ID: "dar-a-1", DataCentre: "dar-a"}, hosts, load)
	b.handler = New(Options{
		Key: testKey, State: b.state, Store: b.store, OfferConfig: b.state.OfferConfig,
		Log: &log.Logger{Handler: discard.Default}, Clock: instantClock{clockwork.NewFakeClock()},
	})
	return b
}

// instantClock lets every wait end at once.
type instantClock struct{ *clockwork.FakeClock }

func (instantClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- time.Time{}
	return fired
}

// call sends a request and decodes the answer into out or into a failure.
func (b *bench) call(method, path string, in, out any) *operatorapi.Failure {
	b.t.Helper()
	body, err := json.Marshal(in)
	require.NoError(b.t, err)
	request := httptest.NewRequest(method, path, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+b.key)
	answer := httptest.NewRecorder()
	b.handler.ServeHTTP(answer, request)
	if answer.Code == http.StatusOK {
		require.NoError(b.t, json.Unmarshal(answer.Body.Bytes(), out))
		return nil
	}
	failure := &operatorapi.Failure{}
	require.NoError(b.t, json.Unmarshal(answer.Body.Bytes(), failure))
	return failure
}

func (b *bench) plan(intent plan.Intent) *plan.Plan {
	b.t.Helper()
	proposed := &plan.Plan{}
	require.Nil(b.t, b.call(http.MethodPost, operatorapi.PathPlan, intent, proposed))
	return proposed
}

func (b *bench) confirm(p *plan.Plan) (*operatorapi.ConfirmResponse, *operatorapi.Failure) {
	confirmed := &operatorapi.ConfirmResponse{}
	path := operatorapi.PathConfirm
	if p.Base == 0 {
		path = operatorapi.PathInit
	}
	failure := b.call(http.MethodPost, path, operatorapi.ConfirmRequest{Plan: p.ID, Base: p.Base, Intent: p.Intent}, confirmed)
	return confirmed, failure
}

// initialise accepts the example of Kilima as revision 1.
func (b *bench) initialise() {
	b.t.Helper()
	declared, err := settings.LoadDeclarations("../../examples/kilima/declarations.jsonc")
	require.NoError(b.t, err)
	first := b.plan(plan.Intent{Kind: plan.ApplyDeclarations, Declarations: declared})
	confirmed, failure := b.confirm(first)
	require.Nil(b.t, failure)
	require.Equal(b.t, core.Revision(1), confirmed.Revision)
}

func takeOut(id core.DataCentreID) plan.Intent {
	return plan.Intent{Kind: plan.TakeOut, DataCentre: id}
}

func TestPlanConfirmStatus(t *testing.T) {
	b := newBench(t, plan.Load{},
		snapshot.HostView{Host: core.Host{ID: "dar-a-1", DataCentre: "dar-a"}},
		snapshot.HostView{Host: core.Host{ID: "tanga-a-1", DataCentre: "tanga-a"}, Revision: 1, LastContact: time.Unix(1, 0)})
	b.initialise()
	proposed := b.plan(takeOut("tanga-a"))
	require.Equal(t, core.Revision(1), b.state.Snapshot().Catalog.Config.Revision, "a plan changes nothing")
	confirmed, failure := b.confirm(proposed)
	require.Nil(t, failure)
	require.Equal(t, &operatorapi.ConfirmResponse{Plan: proposed.ID, Revision: 2}, confirmed)
	again, failure := b.confirm(proposed)
	require.Nil(t, failure)
	require.Equal(t, &operatorapi.ConfirmResponse{Plan: proposed.ID, Revision: 2, Repeated: true}, again)

	status := &operatorapi.Status{}
	require.Nil(t, b.call(http.MethodGet, operatorapi.PathStatus, nil, status))
	require.Equal(t, core.Revision(2), status.Accepted)
	require.True(t, status.DataCentres[2].Unreachable)
	require.Equal(t, core.StateOut, status.DataCentres[2].State)
	require.False(t, status.DataCentres[2].Hosts[0].Confirmed)
	require.Equal(t, status.AcceptedAt, status.DataCentres[2].Hosts[0].UnconfirmedSince)
	require.True(t, status.DataCentres[0].Hosts[0].Confirmed)
	require.Equal(t, []core.HostID{"tanga-a-1"}, status.Plans[0].UnconfirmedHosts)
	require.Equal(t, proposed.ID, status.Plans[0].Plan)
}

func TestCallsWithoutTheKeyChangeNothing(t *testing.T) {
	b := newBench(t, plan.Load{})
	b.initialise()
	proposed := b.plan(takeOut("tanga-a"))
	for _, key := range []string{"", "x", testKey + "x", testKey[1:]} {
		b.key = key
		for _, path := range []string{operatorapi.PathPlan, operatorapi.PathConfirm, operatorapi.PathInit, operatorapi.PathPush} {
			failure := b.call(http.MethodPost, path, operatorapi.ConfirmRequest{Plan: proposed.ID, Base: 1, Intent: proposed.Intent}, nil)
			require.Equal(t, operatorapi.Unauthorized, failure.Type)
		}
		require.Equal(t, operatorapi.Unauthorized, b.call(http.MethodGet, operatorapi.PathStatus, nil, nil).Type)
		require.Equal(t, operatorapi.Unauthorized, b.call(http.MethodGet, operatorapi.PathAccepted, nil, nil).Type)
	}
	require.Equal(t, 1, b.store.Commits)
	require.Equal(t, core.Revision(1), b.state.Snapshot().Catalog.Config.Revision)
}

func TestConfirmMeetsFailuresOfThePlatform(t *testing.T) {
	other := plan.Intent{Kind: plan.Drain, Targets: []core.TargetID{"assistant-1"}}
	cases := map[string]struct {
		fail    func(b *bench)
		want    operatorapi.FailureType // empty: accepted
		commits int                     // including the first configuration
	}{
		"answer lost after the write":      {func(b *bench) { b.store.LoseCommitResponses = 1 }, "", 2},
		"answer lost before the write":     {func(b *bench) { b.store.DropCommits = 1 }, "", 2},
		"platform away from the start":     {func(b *bench) { b.store.Unavailable = true }, operatorapi.PlatformUnavailable, 1},
		"platform away before the commit":  {func(b *bench) { b.store.BeforeCommit = func() { b.store.Unavailable = true } }, operatorapi.OutcomeUnknown, 1},
		"another change before the plan":   {func(b *bench) { b.confirm(b.plan(other)) }, operatorapi.Conflicted, 2},
		"another change before the commit": {func(b *bench) { b.store.BeforeCommit = func() { b.confirm(b.plan(other)) } }, operatorapi.Conflicted, 2},
		"the same plan by a second operator": {func(b *bench) {
			b.store.BeforeCommit = func() { b.confirm(b.plan(takeOut("tanga-a"))) }
		}, "", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, plan.Load{})
			b.initialise()
			proposed := b.plan(takeOut("tanga-a"))
			c.fail(b)
			confirmed, failure := b.confirm(proposed)
			require.Equal(t, c.commits, b.store.Commits)
			if c.want == "" {
				require.Nil(t, failure)
				require.Equal(t, core.Revision(2), confirmed.Revision)
				return
			}
			require.Equal(t, c.want, failure.Type)
			if c.want == operatorapi.Conflicted {
				require.Equal(t, core.Revision(2), failure.Conflict.Current)
				require.Equal(t, "assistant-1", failure.Conflict.Steps[0].ID)
				require.Equal(t, core.Revision(2), failure.Conflict.Plan.Base)
				require.Equal(t, b.plan(takeOut("tanga-a")), failure.Conflict.Plan)
			}
		})
	}
}

func TestInitIsForTheFirstConfigurationOnly(t *testing.T) {
	b := newBench(t, plan.Load{})
	b.initialise()
	declared, err := settings.LoadDeclarations("../../examples/stemmebu/declarations.jsonc")
	require.NoError(t, err)
	intent := plan.Intent{Kind: plan.ApplyDeclarations, Declarations: declared}
	_, failure := b.confirm(&plan.Plan{ID: plan.Identity(0, intent), Intent: intent})
	require.Equal(t, operatorapi.Conflicted, failure.Type)
	require.Equal(t, 1, b.store.Commits)
	_, failure = b.confirm(&plan.Plan{ID: "p-1", Intent: takeOut("dar-a")})
	require.Equal(t, operatorapi.Malformed, failure.Type)
}

func TestPushTakesOnlyAuthenticAndNewerConfigurations(t *testing.T) {
	from, to := newBench(t, plan.Load{}), newBench(t, plan.Load{})
	require.Equal(t, operatorapi.NotInitialised, to.call(http.MethodGet, operatorapi.PathAccepted, nil, nil).Type)
	from.initialise()
	old := &operatorapi.SealedConfig{}
	require.Nil(t, from.call(http.MethodGet, operatorapi.PathAccepted, nil, old))
	from.confirm(from.plan(takeOut("tanga-a")))
	carried := &operatorapi.SealedConfig{}
	require.Nil(t, from.call(http.MethodGet, operatorapi.PathAccepted, nil, carried))

	forged := *carried
	forged.Seal = old.Seal
	require.Equal(t, operatorapi.InvalidSeal, to.call(http.MethodPost, operatorapi.PathPush, forged, nil).Type)
	require.Nil(t, to.state.Snapshot().Catalog)

	pushed := &operatorapi.PushResponse{}
	require.Nil(t, to.call(http.MethodPost, operatorapi.PathPush, carried, pushed))
	require.Equal(t, &operatorapi.PushResponse{Host: "dar-a-1", Revision: 2, Applied: true}, pushed)
	require.Nil(t, to.call(http.MethodPost, operatorapi.PathPush, old, pushed))
	require.Equal(t, &operatorapi.PushResponse{Host: "dar-a-1", Revision: 2}, pushed)
	require.Equal(t, core.Revision(2), to.state.Snapshot().Catalog.Config.Revision)
}
