package commandline

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operator"
	"siskintide.example/siskintide/internal/operator/operatortest"
	"siskintide.example/siskintide/internal/snapshot"
)

const (
	testKey      = "operator-key-operator-key-operator-key"
	declarations = "../../examples/kilima/declarations.jsonc"
	deadAddress  = "127.0.0.1:1" // nothing listens there
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture serves the operators' interface of one host and holds the streams of the tool.
type fixture struct {
	state   *operatortest.State
	store   *operatortest.Store
	address string
	in      string
	out     bytes.Buffer
	err     bytes.Buffer
	client  *http.Client
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{store: operatortest.NewStore()}
	hosts := []snapshot.HostView{{Host: core.Host{ID: "dar-a-1", DataCentre: "dar-a"}}}
	f.state = operatortest.NewState(hosts[0].Host, hosts, plan.Load{})
	server := httptest.NewServer(operator.New(operator.Options{
		Key: testKey, State: f.state, Store: f.store, OfferConfig: f.state.OfferConfig,
		Log: &log.Logger{Handler: discard.Default}, Clock: clockwork.NewFakeClock(),
	}))
	f.client = server.Client()
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

func (f *fixture) run(args ...string) ExitCode {
	f.out.Reset()
	f.err.Reset()
	return Run(context.Background(), args, Environment{
		In: strings.NewReader(f.in), Out: &f.out, Err: &f.err, HTTP: f.client,
		Getenv: func(name string) string {
			return map[string]string{keyVariable: testKey, hostsVariable: deadAddress + "," + f.address}[name]
		},
	})
}

func TestPlanConfirmAndStatusEndToEnd(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, ExitOK, f.run("init", declarations, "--yes"), f.err.String())
	require.Contains(t, f.out.String(), "Accepted as revision 1")
	require.Equal(t, ExitInvalidInput, f.run("init", declarations, "--yes"))

	f.in = "no\n"
	require.Equal(t, ExitFailed, f.run("take-out", "tanga-a"))
	require.Contains(t, f.out.String(), "data centre tanga-a: state from in to out")
	require.Contains(t, f.err.String(), "was not confirmed; nothing was changed")
	require.Equal(t, 1, f.store.Commits)

	f.in = "yes\n"
	require.Equal(t, ExitOK, f.run("take-out", "tanga-a"), f.err.String())
	require.Equal(t, ExitOK, f.run("status"))
	require.Contains(t, f.out.String(), "Data centre tanga-a: out")
	require.Contains(t, f.out.String(), "in force at all 1 hosts")

	// Declarations without states do not undo the confirmed take-out.
	require.Equal(t, ExitFailed, f.run("apply", declarations, "--yes", "--output", "json"))
	require.Contains(t, f.out.String(), "nothing_to_change")
	require.False(t, f.state.Snapshot().Catalog.Accepts("assistant-6"))
}

func TestSavedPlanIsConfirmedOnceAndDetectsConflict(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, ExitOK, f.run("init", declarations, "--yes"), f.err.String())
	require.Equal(t, ExitOK, f.run("drain", "assistant-1", "--plan-only", "--output", "json"))
	saved := filepath.Join(t.TempDir(), "plan.json")
	require.NoError(t, os.WriteFile(saved, f.out.Bytes(), 0o600))
	require.Equal(t, ExitOK, f.run("drain", "assistant-2", "--yes"))
	require.Equal(t, ExitConflict, f.run("confirm", saved, "--yes"))
	require.Contains(t, f.err.String(), "target assistant-2: state from in to out")
	require.Contains(t, f.err.String(), "to be read and confirmed anew")
	require.Equal(t, 2, f.store.Commits)

	require.Equal(t, ExitOK, f.run("drain", "assistant-1", "--plan-only", "--output", "json"))
	require.NoError(t, os.WriteFile(saved, f.out.Bytes(), 0o600))
	require.Equal(t, ExitOK, f.run("confirm", saved, "--yes"))
	require.Equal(t, ExitOK, f.run("confirm", saved, "--yes"))
	require.Contains(t, f.out.String(), "Already accepted as revision 3")
	require.Equal(t, 3, f.store.Commits)
}

func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, ExitOK, f.run("init", declarations, "--yes"), f.err.String())
	cases := map[string]struct {
		args []string
		code ExitCode
		want string
	}{
		"unknown data centre":  {[]string{"take-out", "mbeya"}, ExitFailed, "Refused (unknown_object)"},
		"nothing to change":    {[]string{"return", "dar-a"}, ExitFailed, "Refused (nothing_to_change)"},
		"name for an address":  {[]string{"status", "--host", "dar-a-1:7003"}, ExitInvalidInput, "IP:port"},
		"unknown output":       {[]string{"status", "--output", "xml"}, ExitInvalidInput, "text or json"},
		"missing key file":     {[]string{"status", "--key-file", "absent"}, ExitInvalidInput, "a readable file"},
		"missing file":         {[]string{"plan", "absent.jsonc"}, ExitInvalidInput, "absent.jsonc"},
		"file is no plan":      {[]string{"confirm", declarations}, ExitInvalidInput, "accepted: the output of a plan"},
		"no host":              {[]string{"status", "--host", deadAddress}, ExitFailed, "no answer from"},
		"two data centres":     {[]string{"take-out", "dar-a", "dar-b"}, ExitInvalidInput, "one data centre"},
		"version without name": {[]string{"bring-in", "assistant-llm"}, ExitInvalidInput, "Required positional"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if strings.HasPrefix(c.want, "Required") {
				requireExitOfParser(t, f, c.args)
				return
			}
			require.Equal(t, c.code, f.run(c.args...))
			require.Contains(t, f.err.String(), c.want)
		})
	}
	require.Equal(t, 1, f.store.Commits)
}

// requireExitOfParser expects the parser itself to end the process with status 2.
func requireExitOfParser(t *testing.T, f *fixture, args []string) {
	flaggy.PanicInsteadOfExit = true
	defer func() { flaggy.PanicInsteadOfExit = false }()
	require.PanicsWithValue(t, "Panic instead of exit with code: 2", func() { f.run(args...) })
}

func TestPushCopiesTheAcceptedConfiguration(t *testing.T) {
	from, to := newFixture(t), newFixture(t)
	require.Equal(t, ExitOK, from.run("init", declarations, "--yes"), from.err.String())
	require.Equal(t, ExitOK, from.run("push", to.address))
	require.Contains(t, from.out.String(), "host dar-a-1 took revision 1")
	require.Equal(t, core.Revision(1), to.state.Snapshot().Catalog.Config.Revision)
	require.Equal(t, ExitOK, from.run("push", to.address))
	require.Contains(t, from.out.String(), "had revision 1")
	require.Equal(t, ExitFailed, from.run("push", deadAddress, to.address))
}

func TestExamplesAreAccepted(t *testing.T) {
	for name, hosts := range map[string]int{"stemmebu": 9, "kilima": 8} {
		files, err := filepath.Glob("../../examples/" + name + "/*.jsonc")
		require.NoError(t, err)
		require.Len(t, files, hosts+1)
		f := newFixture(t)
		require.Equal(t, ExitOK, f.run(append([]string{"check"}, files...)...), f.err.String())
		require.Equal(t, hosts, strings.Count(f.out.String(), "settings accepted"))
		require.Contains(t, f.out.String(), "declarations accepted")
	}
}
