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

// fixture is the handler of one host with a fake platform.
type fixture struct {
	t       *testing.T
	store   *operatortest.Store
	state   *operatortest.State
	handler http.Handler
	key     string
}

func newFixture(t *testing.T, load plan.Load, hosts ...snapshot.HostView) *fixture {
	f := &fixture{t: t, store: operatortest.NewStore(), key: testKey}
	f.state = operatortest.NewState(core.Host{ID: "dar-a-1", DataCentre: "dar-a"}, hosts, load)
	f.handler = New(Options{
		Key: testKey, State: f.state, Store: f.store, OfferConfig: f.state.OfferConfig,
		Log: &log.Logger{Handler: discard.Default}, Clock: instantClock{clockwork.NewFakeClock()},
	})
	return f
}

// instantClock is a clock whose After channels are ready immediately.
type instantClock struct{ *clockwork.FakeClock }

func (instantClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- time.Time{}
	return fired
}

// call sends a request and decodes the response into out or into a failure.
func (f *fixture) call(method, path string, in, out any) *operatorapi.Failure {
	f.t.Helper()
	body, err := json.Marshal(in)
	require.NoError(f.t, err)
	request := httptest.NewRequest(method, path, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+f.key)
	response := httptest.NewRecorder()
	f.handler.ServeHTTP(response, request)
	if response.Code == http.StatusOK {
		require.NoError(f.t, json.Unmarshal(response.Body.Bytes(), out))
		return nil
	}
	failure := &operatorapi.Failure{}
	require.NoError(f.t, json.Unmarshal(response.Body.Bytes(), failure))
	return failure
}

func (f *fixture) plan(intent plan.Intent) *plan.Plan {
	f.t.Helper()
	proposed := &plan.Plan{}
	require.Nil(f.t, f.call(http.MethodPost, operatorapi.PathPlan, intent, proposed))
	return proposed
}

func (f *fixture) confirm(p *plan.Plan) (*operatorapi.ConfirmResponse, *operatorapi.Failure) {
	confirmed := &operatorapi.ConfirmResponse{}
	path := operatorapi.PathConfirm
	if p.Base == 0 {
		path = operatorapi.PathInit
	}
	failure := f.call(http.MethodPost, path, operatorapi.ConfirmRequest{Plan: p.ID, Base: p.Base, Intent: p.Intent}, confirmed)
	return confirmed, failure
}

// initialise accepts the declarations of the example kilima as revision 1.
func (f *fixture) initialise() {
	f.t.Helper()
	declared, err := settings.LoadDeclarations("../../examples/kilima/declarations.jsonc")
	require.NoError(f.t, err)
	first := f.plan(plan.Intent{Kind: plan.ApplyDeclarations, Declarations: declared})
	confirmed, failure := f.confirm(first)
	require.Nil(f.t, failure)
	require.Equal(f.t, core.Revision(1), confirmed.Revision)
}

func takeOut(id core.DataCentreID) plan.Intent {
	return plan.Intent{Kind: plan.TakeOut, DataCentre: id}
}

func TestPlanConfirmStatus(t *testing.T) {
	f := newFixture(t, plan.Load{},
		snapshot.HostView{Host: core.Host{ID: "dar-a-1", DataCentre: "dar-a"}},
		snapshot.HostView{Host: core.Host{ID: "tanga-a-1", DataCentre: "tanga-a"}, Revision: 1, LastContact: time.Unix(1, 0)})
	f.initialise()
	proposed := f.plan(takeOut("tanga-a"))
	require.Equal(t, core.Revision(1), f.state.Snapshot().Catalog.Config.Revision, "a plan changes nothing")
	confirmed, failure := f.confirm(proposed)
	require.Nil(t, failure)
	require.Equal(t, &operatorapi.ConfirmResponse{Plan: proposed.ID, Revision: 2}, confirmed)
	again, failure := f.confirm(proposed)
	require.Nil(t, failure)
	require.Equal(t, &operatorapi.ConfirmResponse{Plan: proposed.ID, Revision: 2, Repeated: true}, again)

	status := &operatorapi.Status{}
	require.Nil(t, f.call(http.MethodGet, operatorapi.PathStatus, nil, status))
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
	f := newFixture(t, plan.Load{})
	f.initialise()
	proposed := f.plan(takeOut("tanga-a"))
	for _, key := range []string{"", "x", testKey + "x", testKey[1:]} {
		f.key = key
		for _, path := range []string{operatorapi.PathPlan, operatorapi.PathConfirm, operatorapi.PathInit, operatorapi.PathPush} {
			failure := f.call(http.MethodPost, path, operatorapi.ConfirmRequest{Plan: proposed.ID, Base: 1, Intent: proposed.Intent}, nil)
			require.Equal(t, operatorapi.Unauthorized, failure.Type)
		}
		require.Equal(t, operatorapi.Unauthorized, f.call(http.MethodGet, operatorapi.PathStatus, nil, nil).Type)
		require.Equal(t, operatorapi.Unauthorized, f.call(http.MethodGet, operatorapi.PathAccepted, nil, nil).Type)
	}
	require.Equal(t, 1, f.store.Commits)
	require.Equal(t, core.Revision(1), f.state.Snapshot().Catalog.Config.Revision)
}

func TestConfirmHandlesPlatformFailures(t *testing.T) {
	other := plan.Intent{Kind: plan.Drain, Targets: []core.TargetID{"assistant-1"}}
	cases := map[string]struct {
		fail    func(f *fixture)
		want    operatorapi.FailureType // empty: accepted
		commits int                     // including the first configuration
	}{
		"response lost after the write":          {func(f *fixture) { f.store.LoseCommitResponses = 1 }, "", 2},
		"request lost before the write":          {func(f *fixture) { f.store.DropCommits = 1 }, "", 2},
		"platform unavailable from the start":    {func(f *fixture) { f.store.Unavailable = true }, operatorapi.PlatformUnavailable, 1},
		"platform unavailable before the commit": {func(f *fixture) { f.store.BeforeCommit = func() { f.store.Unavailable = true } }, operatorapi.OutcomeUnknown, 1},
		"another change before the plan":         {func(f *fixture) { f.confirm(f.plan(other)) }, operatorapi.Conflicted, 2},
		"another change before the commit":       {func(f *fixture) { f.store.BeforeCommit = func() { f.confirm(f.plan(other)) } }, operatorapi.Conflicted, 2},
		"the same plan by a second operator": {func(f *fixture) {
			f.store.BeforeCommit = func() { f.confirm(f.plan(takeOut("tanga-a"))) }
		}, "", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, plan.Load{})
			f.initialise()
			proposed := f.plan(takeOut("tanga-a"))
			c.fail(f)
			confirmed, failure := f.confirm(proposed)
			require.Equal(t, c.commits, f.store.Commits)
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
				require.Equal(t, f.plan(takeOut("tanga-a")), failure.Conflict.Plan)
			}
		})
	}
}

func TestInitAcceptsOnlyTheFirstConfiguration(t *testing.T) {
	f := newFixture(t, plan.Load{})
	f.initialise()
	declared, err := settings.LoadDeclarations("../../examples/stemmebu/declarations.jsonc")
	require.NoError(t, err)
	intent := plan.Intent{Kind: plan.ApplyDeclarations, Declarations: declared}
	_, failure := f.confirm(&plan.Plan{ID: plan.Identity(0, intent), Intent: intent})
	require.Equal(t, operatorapi.Conflicted, failure.Type)
	require.Equal(t, 1, f.store.Commits)
	_, failure = f.confirm(&plan.Plan{ID: "p-1", Intent: takeOut("dar-a")})
	require.Equal(t, operatorapi.Malformed, failure.Type)
}

func TestPushAppliesOnlyAuthenticAndNewerConfigurations(t *testing.T) {
	from, to := newFixture(t, plan.Load{}), newFixture(t, plan.Load{})
	require.Equal(t, operatorapi.NotInitialised, to.call(http.MethodGet, operatorapi.PathAccepted, nil, nil).Type)
	from.initialise()
	old := &operatorapi.SealedConfig{}
	require.Nil(t, from.call(http.MethodGet, operatorapi.PathAccepted, nil, old))
	from.confirm(from.plan(takeOut("tanga-a")))
	sealed := &operatorapi.SealedConfig{}
	require.Nil(t, from.call(http.MethodGet, operatorapi.PathAccepted, nil, sealed))

	forged := *sealed
	forged.Seal = old.Seal
	require.Equal(t, operatorapi.InvalidSeal, to.call(http.MethodPost, operatorapi.PathPush, forged, nil).Type)
	require.Nil(t, to.state.Snapshot().Catalog)

	pushed := &operatorapi.PushResponse{}
	require.Nil(t, to.call(http.MethodPost, operatorapi.PathPush, sealed, pushed))
	require.Equal(t, &operatorapi.PushResponse{Host: "dar-a-1", Revision: 2, Applied: true}, pushed)
	require.Nil(t, to.call(http.MethodPost, operatorapi.PathPush, old, pushed))
	require.Equal(t, &operatorapi.PushResponse{Host: "dar-a-1", Revision: 2}, pushed)
	require.Equal(t, core.Revision(2), to.state.Snapshot().Catalog.Config.Revision)
}
