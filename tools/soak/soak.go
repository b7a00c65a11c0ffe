package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	serviceLatency = 4 * time.Millisecond  // duration of a call at a target of the plain service
	eventInterval  = 10 * time.Millisecond // between two events of a stream
	clientCount    = 12                    // concurrent clients
	// readyTimeout is the time after the last fault, or the start, within which all hosts
	// must be ready.
	readyTimeout = 12 * time.Second
	// quietPeriod is the time without faults at the end, in which nearly all requests must
	// be served.
	quietPeriod = 3 * time.Second
	// minServedShare is the share of requests that must be served in the quiet period.
	minServedShare = 0.97
)

// zones lists the data centres, which the settings and registrations call zones.
var zones = []string{"a", "b"}

// soak is one run: the deployment under test and the records of its requests and faults.
type soak struct {
	options             options
	dir                 string
	recorder            *platformtest.Recorder
	platformStore       *platformtest.Store
	storeServer         *httptest.Server // serves platformStore
	hosts               []*host
	mu                  sync.Mutex // guards the fields below while clients and faults run
	targets             []*target
	targetCount         int
	version             int      // of the configuration in the store
	keys                []string // valid API keys, oldest first
	revokedAt           map[string]time.Time
	gone                []*target            // stopped
	evacuated           map[string]bool      // by zone, as the operator has written it last
	leavingSince        map[string]time.Time // when each leaving target was registered as draining
	timeBoundsSuspended []interval
	broken              map[string][]interval // periods of faults but planned stops, by the host or target that they break
	unreachable         map[string][]interval // those of them in which the host or target may be silent
	sent                []*sentRequest
	deadly              []*deadlyPart
	resumedCount        int // streams that callers have resumed
	resumedWhole        int // of them, those that callers have whole
	beyondAttempts      int // attempts that ran at more engines than the route's max-attempts
	faultNames          []string
	violations          []string
}

func newSoak(options options) (*soak, error) {
	dir := options.Dir
	if dir == "" {
		made, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return nil, fmt.Errorf("make folder: %w", err)
		}
		dir = made
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	s := &soak{options: options, dir: dir, recorder: platformtest.NewRecorder(), platformStore: platformtest.NewStore(), version: 1,
		keys: []string{"key-0", "key-1"}, revokedAt: map[string]time.Time{}, leavingSince: map[string]time.Time{}, evacuated: map[string]bool{}, broken: map[string][]interval{}, unreachable: map[string][]interval{}}
	s.storeServer = httptest.NewServer(s.platformStore)
	s.platformStore.PutConfig(s.version, s.keys)
	for i := range options.Engines + options.Services {
		if _, err := s.addTarget(i < options.Engines, zones[i%len(zones)]); err != nil {
			return nil, fmt.Errorf("start target: %w", err)
		}
	}
	for i := range options.Hosts {
		if err := s.addHost(i); err != nil {
			return nil, fmt.Errorf("start host: %w", err)
		}
	}
	return s, nil
}

func (s *soak) targetName(prefix string) string {
	return fmt.Sprintf("%s-%d-%d", prefix, s.options.Seed, s.targetCount)
}

// addHost adds a host on a loopback address derived from the seed and its number. The
// process is started later.
func (s *soak) addHost(number int) error {
	storeProxy, err := newProxy(s.storeServer.Listener.Addr().String())
	if err != nil {
		return err
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 20+s.options.Seed%200, s.options.Seed/200%200, number+1)
	ports := make([]int, 3)
	for i := range ports {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		ports[i] = listener.Addr().(*net.TCPAddr).Port
		defer func() { _ = listener.Close() }()
	}
	h := &host{daemon: s.options.Daemon, dir: s.dir, storeProxy: storeProxy, boot: platformtest.BootSettings{
		Node: fmt.Sprintf("host-%d", number), Zone: zones[number%len(zones)], IP: ip, FrontPort: ports[0], ReadyPort: ports[1], PeerPort: ports[2],
		StoreAddress: storeProxy.address(), RetrySlack: 100, MemoryMB: 200,
	}}
	s.hosts = append(s.hosts, h)
	return nil
}

// run starts the hosts and clients, injects the faults and checks the guarantees. It
// returns the exit status.
func (s *soak) run() int {
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			s.recordViolation("host did not start: %v", err)
		}
		defer h.close()
	}
	if !s.awaitReady() {
		s.recordViolation("hosts were not ready at the start")
		return s.report()
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for number := range clientCount {
		wg.Go(func() { s.runClient(ctx, number) })
	}
	for number := range resumingCallerCount {
		wg.Go(func() { s.runResumingCallers(ctx, number) })
	}
	faulty, end := context.WithCancel(ctx)
	var injecting sync.WaitGroup
	injecting.Go(func() { s.injectRestorations(faulty, rand.New(rand.NewPCG(s.options.Seed, 1))) })
	injecting.Go(func() { s.injectDeadlyParts(faulty, rand.New(rand.NewPCG(s.options.Seed, deadlyParts))) })
	injecting.Go(func() { s.loseAnswers(faulty, rand.New(rand.NewPCG(s.options.Seed, lostAnswers))) })
	injecting.Go(func() { s.loseAnswersEarly(faulty, rand.New(rand.NewPCG(s.options.Seed, earlyLosses))) })
	injecting.Go(func() { s.injectLapses(faulty, rand.New(rand.NewPCG(s.options.Seed, lapses))) })
	injecting.Go(func() { s.injectOversizedCalls(faulty, rand.New(rand.NewPCG(s.options.Seed, oversizedCalls))) })
	s.injectFaults(rand.New(rand.NewPCG(s.options.Seed, 0)))
	end()
	injecting.Wait()
	<-time.After(reconnectTime) // until then a host may still be ready by what it knew before the fault
	if !s.awaitReady() {
		s.recordViolation("hosts were not ready %s after the last fault", readyTimeout)
	}
	from := time.Now().Add(time.Second)
	<-time.After(time.Second + quietPeriod)
	to := time.Now()
	stop()
	wg.Wait()
	s.checkGuarantees(from, to)
	return s.report()
}

// injectFaults starts random faults, which may overlap, until the duration is over, and
// waits for their ends.
func (s *soak) injectFaults(r *rand.Rand) {
	deadline := time.Now().Add(s.options.Duration)
	var wg sync.WaitGroup
	for time.Now().Before(deadline) {
		s.mu.Lock()
		f := s.randomFault(r)
		s.faultNames = append(s.faultNames, f.name)
		s.mu.Unlock()
		wg.Go(func() { s.injectFault(f) })
		<-time.After(time.Duration(100+r.IntN(1200)) * time.Millisecond)
	}
	wg.Wait()
}

func (s *soak) injectFault(f fault) {
	startedAt := time.Now()
	f.start()
	if f.end != nil {
		<-time.After(f.duration)
		f.end()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	period := interval{start: startedAt, end: time.Now()}
	if f.suspendsTimeBounds {
		s.timeBoundsSuspended = append(s.timeBoundsSuspended, period)
	}
	s.broken[f.breaks] = append(s.broken[f.breaks], period)
	if f.suspendsTimeBounds {
		s.unreachable[f.breaks] = append(s.unreachable[f.breaks], period)
	}
}

// awaitReady waits until all hosts report that they are ready. It reports false after
// readyTimeout.
func (s *soak) awaitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); <-time.After(50 * time.Millisecond) {
		ready := 0
		for _, h := range s.hosts {
			response, err := client.Get(h.readyURL())
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.hosts) {
			return true
		}
	}
	return false
}
