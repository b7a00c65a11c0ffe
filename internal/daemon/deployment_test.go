package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operatorclient"
	"siskintide.example/siskintide/internal/settings"
	"siskintide.example/siskintide/tools/standin/engine/engineserver"
	"siskintide.example/siskintide/tools/standin/platform/platformserver"
	"siskintide.example/siskintide/tools/standin/service/serviceserver"
)

const (
	teamKey     = "team-key"
	operatorKey = "operator-key-0123456789abcdef-0123456789"
	// stepTimeout bounds each wait of a test. It does not assert any speed.
	stepTimeout = 60 * time.Second
	// anyPort is any port of an address that no stand-in uses. A host that was stopped is
	// dialled by its peers for a while, and a stand-in of another test that got its port
	// would count these calls.
	anyPort = "127.0.0.2:0"
)

// deployment runs real hosts and stand-ins in the test process, on loopback.
type deployment struct {
	t *testing.T
	// id is part of the keys. A host of another test program, which looks for a former peer at a port
	// that was used again, must not link to a host of this deployment.
	id       string
	platform *httptest.Server
	engines  []*httptest.Server
	services []*httptest.Server
	hosts    []*runningHost
	fences   bool // engines check fences
	weight   int  // largest weights that an engine holds; a version has 1000
	stepBase time.Duration
	loads    loadRecorder
}

// runningHost is a daemon started by a test.
type runningHost struct {
	settings *settings.Settings
	stop     context.CancelFunc
	ended    chan error
}

// newDeployment starts stand-ins and hosts, and applies the declarations as the first
// configuration.
func newDeployment(t *testing.T, hosts int) *deployment {
	t.Helper()
	d := &deployment{t: t, fences: true, weight: 2000, stepBase: 2 * time.Millisecond}
	d.start(hosts)
	return d
}

func (d *deployment) start(hosts int) {
	t := d.t
	t.Helper()
	d.id = uuid.NewString()
	store := platformserver.New(platformserver.Options{})
	d.platform = httptest.NewServer(store)
	t.Cleanup(func() { d.platform.Close(); store.Close() })
	for range 2 {
		d.addEngine()
	}
	d.addService()
	for i := range hosts {
		d.startHost(fmt.Sprintf("a%d", i+1))
	}
	d.initialise()
	for _, h := range d.hosts {
		d.eventually("host ready", func() bool { return d.status("http://"+h.settings.Listen.Admin+"/readyz") == http.StatusOK })
	}
}

func (d *deployment) addEngine() {
	options := engineserver.Defaults()
	options.StepBase = d.stepBase
	options.ChecksFences = d.fences
	options.LoadTime = 1500 * time.Millisecond
	options.OnLoad = d.loads.add
	server := engineserver.New(options)
	httpServer := httptest.NewServer(server)
	d.engines = append(d.engines, httpServer)
	d.t.Cleanup(func() { httpServer.CloseClientConnections(); httpServer.Close(); server.Close() })
}

func (d *deployment) addService() {
	server := serviceserver.New(serviceserver.Options{})
	httpServer := httptest.NewServer(server)
	d.services = append(d.services, httpServer)
	d.t.Cleanup(func() { httpServer.CloseClientConnections(); httpServer.Close(); server.Close() })
}

func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// openSockets opens the sockets of a host on free ports. They stay open until the host
// serves on them, because another process could take a port that was closed in between.
func (d *deployment) openSockets() (*listeners, settings.ListenAddresses) {
	d.t.Helper()
	sockets, err := listen(context.Background(), settings.ListenAddresses{Callers: anyPort, Peers: anyPort, Admin: anyPort})
	require.NoError(d.t, err)
	return sockets, settings.ListenAddresses{
		Callers: sockets.callers.Addr().String(),
		Peers:   sockets.peers.Addr().String(),
		Admin:   sockets.admin.Addr().String(),
	}
}

func (d *deployment) startHost(name string) {
	d.t.Helper()
	sockets, addresses := d.openSockets()
	s := &settings.Settings{
		Host:            core.HostID(name),
		DataCentre:      "oslo-a",
		Listen:          addresses,
		PlatformAddress: address(d.platform),
		PeerKey:         "peer-key-" + d.id,
		OperatorKey:     operatorKey,
		EventKey:        "event-key-" + d.id,
		Timing:          settings.DefaultTiming(),
		LogLevel:        "error",
	}
	s.Timing.Lease = settings.Duration(3 * time.Second)
	s.Timing.PlatformCall = s.Timing.Lease / 5
	s.Timing.ClockMargin = settings.Duration(300 * time.Millisecond)
	s.Timing.ShutdownGrace = settings.Duration(time.Minute)
	ctx, stop := context.WithCancel(context.Background())
	h := &runningHost{settings: s, stop: stop, ended: make(chan error, 1)}
	go func() { h.ended <- runOn(ctx, s, sockets) }()
	d.hosts = append(d.hosts, h)
	d.eventually("host answers", func() bool { return d.status("http://"+s.Listen.Admin+"/healthz") == http.StatusOK })
}

// end stops a host gracefully and returns the error of its run.
func (h *runningHost) end() error {
	h.stop()
	return <-h.ended
}

func (d *deployment) declarations() string {
	digest := sha256.Sum256([]byte(teamKey))
	return fmt.Sprintf(`{
	"data_centres": [{"id": "oslo-a", "region": "oslo"}],
	"target_kinds": [
		{"id": "runner", "role": "engine", "cold_streams": 4, "warm_streams": 32, "memory_tokens": 16384, "first_token_ms": 770, "token_gap_ms": 77, "checks_fences": %t, "weight_bytes": %d, "max_context_tokens": 8192},
		{"id": "app", "role": "service", "cold_streams": 4, "warm_streams": 32, "checks_fences": false}],
	"models": [{"id": "manus-llm", "version": "v1", "weight_bytes": 1000, "max_tokens": 4096, "queue_ms": 20000, "queue_entries": 100}],
	"services": [{"id": "booking-app", "unrepeatable_paths": ["/bookings"], "timeout_ms": 10000, "keep_answer_s": 3600}],
	"classes": [{"id": "interactive", "priority": 0}],
	"teams": [{"id": "radio", "key_sha256": ["%s"], "weight": 1, "class": "interactive"}],
	"targets": [
		{"id": "e1", "data_centre": "oslo-a", "address": %q, "kind": "runner", "model": "manus-llm"},
		{"id": "e2", "data_centre": "oslo-a", "address": %q, "kind": "runner", "model": "manus-llm"},
		{"id": "s1", "data_centre": "oslo-a", "address": %q, "kind": "app", "service": "booking-app"}]}`,
		d.fences, d.weight, hex.EncodeToString(digest[:]), address(d.engines[0]), address(d.engines[1]), address(d.services[0]))
}

func (d *deployment) operatorClient() *operatorclient.Client {
	var admins []string
	for _, h := range d.hosts {
		admins = append(admins, h.settings.Listen.Admin)
	}
	return operatorclient.New(admins, operatorKey, &http.Client{Timeout: stepTimeout, Transport: &http.Transport{DisableKeepAlives: true}})
}

// initialise applies the declarations as the first configuration.
func (d *deployment) initialise() {
	d.t.Helper()
	declared, err := settings.ParseDeclarations("declarations.jsonc", []byte(d.declarations()))
	require.NoError(d.t, err)
	d.confirm(plan.Intent{Kind: plan.ApplyDeclarations, Declarations: declared})
}

// confirm creates a plan for an intent and confirms it.
func (d *deployment) confirm(intent plan.Intent) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	client := d.operatorClient()
	p, err := client.Plan(ctx, intent)
	require.NoError(d.t, err)
	_, err = client.Confirm(ctx, p)
	require.NoError(d.t, err)
}

// status returns the status code of a GET, or 0 if it failed.
func (d *deployment) status(url string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// eventually waits until the condition holds.
func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	require.Eventually(d.t, condition, stepTimeout, 20*time.Millisecond, what)
}
