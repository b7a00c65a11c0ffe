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

// bench is one host's operators' interface and the tool's surroundings.
type bench struct {
	state   *operatortest.State
	store   *operatortest.Store
	address string
	in      string
	out     bytes.Buffer
	err     bytes.Buffer
	client  *http.Client
}

func newBench(t *testing.T) *bench {
	b := &bench{store: operatortest.NewStore()}
	hosts := []snapshot.HostView{{Host: core.Host{ID: "dar-a-1", DataCentre: "dar-a"}}}
	b.state = operatortest.NewState(hosts[0].Host, hosts, plan.Load{})
	server := httptest.NewServer(operator.New(operator.Options{
		Key: testKey, State: b.state, Store: b.store, OfferConfig: b.state.OfferConfig,
		Log: &log.Logger{Handler: discard.Default}, Clock: clockwork.NewFakeClock(),
	}))
	b.client = server.Client()
	t.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}

func (b *bench) run(args ...string) ExitCode {
	b.out.Reset()
	b.err.Reset()
	return Run(context.Background(), args, Environment{
		In: strings.NewReader(b.in), Out: &b.out, Err: &b.err, HTTP: b.client,
		Getenv: func(name string) string {
			return map[string]string{keyVariable: testKey, hostsVariable: deadAddress + "," + b.address}[name]
		},
	})
}

func TestPlanConfirmAndStatusEndToEnd(t *testing.T) {
	b := newBench(t)
	require.Equal(t, ExitOK, b.run("init", declarations, "--yes"), b.err.String())
	require.Contains(t, b.out.String(), "Accepted as revision 1")
	require.Equal(t, ExitInput, b.run("init", declarations, "--yes"))

	b.in = "no\n"
	require.Equal(t, ExitFailed, b.run("take-out", "tanga-a"))
	require.Contains(t, b.out.String(), "data centre tanga-a: state from in to out")
	require.Contains(t, b.err.String(), "was not confirmed; nothing was changed")
	require.Equal(t, 1, b.store.Commits)

	b.in = "yes\n"
	require.Equal(t, ExitOK, b.run("take-out", "tanga-a"), b.err.String())
	require.Equal(t, ExitOK, b.run("status"))
	require.Contains(t, b.out.String(), "Data centre tanga-a: out")
	require.Contains(t, b.out.String(), "in force at all 1 hosts")

	// Declarations that leave states out do not undo the confirmed take-out.
	require.Equal(t, ExitFailed, b.run("apply", declarations, "--yes", "--output", "json"))
	require.Contains(t, b.out.String(), "nothing_to_change")
	require.False(t, b.state.Snapshot().Catalog.Accepts("assistant-6"))
}

func TestSavedPlanIsConfirmedOnceAndMeetsAnotherChange(t *testing.T) {
	b := newBench(t)
	require.Equal(t, ExitOK, b.run("init", declarations, "--yes"), b.err.String())
	require.Equal(t, ExitOK, b.run("drain", "assistant-1", "--plan-only", "--output", "json"))
	saved := filepath.Join(t.TempDir(), "plan.json")
	require.NoError(t, os.WriteFile(saved, b.out.Bytes(), 0o600))
	require.Equal(t, ExitOK, b.run("drain", "assistant-2", "--yes"))
	require.Equal(t, ExitChanged, b.run("confirm", saved, "--yes"))
	require.Contains(t, b.err.String(), "target assistant-2: state from in to out")
	require.Contains(t, b.err.String(), "to be read and confirmed anew")
	require.Equal(t, 2, b.store.Commits)

	require.Equal(t, ExitOK, b.run("drain", "assistant-1", "--plan-only", "--output", "json"))
	require.NoError(t, os.WriteFile(saved, b.out.Bytes(), 0o600))
	require.Equal(t, ExitOK, b.run("confirm", saved, "--yes"))
	require.Equal(t, ExitOK, b.run("confirm", saved, "--yes"))
	require.Contains(t, b.out.String(), "Already accepted as revision 3")
	require.Equal(t, 3, b.store.Commits)
}

func TestExitCodes(t *testing.T) {
	b := newBench(t)
	require.Equal(t, ExitOK, b.run("init", declarations, "--yes"), b.err.String())
	cases := map[string]struct {
		args []string
		code ExitCode
		want string
	}{
		"unknown data centre":  {[]string{"take-out", "mbeya"}, ExitFailed, "Refused (unknown_object)"},
		"nothing to change":    {[]string{"return", "dar-a"}, ExitFailed, "Refused (nothing_to_change)"},
		"name for an address":  {[]string{"status", "--host", "dar-a-1:7003"}, ExitInput, "IP:port"},
		"unknown output":       {[]string{"status", "--output", "xml"}, ExitInput, "text or json"},
		"missing key file":     {[]string{"status", "--key-file", "absent"}, ExitInput, "a readable file"},
		"missing file":         {[]string{"plan", "absent.jsonc"}, ExitInput, "absent.jsonc"},
		"file is no plan":      {[]string{"confirm", declarations}, ExitInput, "accepted: the output of a plan"},
		"no host":              {[]string{"status", "--host", deadAddress}, ExitFailed, "no answer from"},
		"two data centres":     {[]string{"take-out", "dar-a", "dar-b"}, ExitInput, "one data centre"},
		"version without name": {[]string{"bring-in", "assistant-llm"}, ExitInput, "Required positional"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if strings.HasPrefix(c.want, "Required") {
				requireExitOfParser(t, b, c.args)
				return
			}
			require.Equal(t, c.code, b.run(c.args...))
			require.Contains(t, b.err.String(), c.want)
		})
	}
	require.Equal(t, 1, b.store.Commits)
}

// requireExitOfParser expects the parser itself to end the process with status 2.
func requireExitOfParser(t *testing.T, b *bench, args []string) {
	flaggy.PanicInsteadOfExit = true
	defer func() { flaggy.PanicInsteadOfExit = false }()
	require.PanicsWithValue(t, "Panic instead of exit with code: 2", func() { b.run(args...) })
}

func TestPushCarriesTheAcceptedConfiguration(t *testing.T) {
	from, to := newBench(t), newBench(t)
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
		b := newBench(t)
		require.Equal(t, ExitOK, b.run(append([]string{"check"}, files...)...), b.err.String())
		require.Equal(t, hosts, strings.Count(b.out.String(), "settings accepted"))
		require.Contains(t, b.out.String(), "declarations accepted")
	}
}
