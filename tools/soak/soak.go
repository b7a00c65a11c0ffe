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
	callTime  = 4 * time.Millisecond
	eventTime = 10 * time.Millisecond
	clients   = 12
	// settleTime is how long after the last fault all must be well again.
	settleTime = 12 * time.Second
	// calmTime is the time at the end in which nearly all is served.
	calmTime = 3 * time.Second
	// calmShare is the part of the requests that must be served then.
	calmShare = 0.97
)

var zones = []string{"a", "b"}

// world is the deployment under test, and the account of what was seen.
type world struct {
	options options
	dir     string
	account *platformtest.Recorder
	store   *platformtest.Store
	server  *httptest.Server // of the store
	hosts   []*host
	mu      sync.Mutex
	targets []*target
	made    int
	version int
	keys    []string // in force
	revoked map[string]time.Time
	leaving map[string]time.Time // targets that were told to leave, and when
	blind   []span
	sent    []*sent
	faults  []string
	wrong   []string
}

func newWorld(options options) (*world, error) {
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
	w := &world{options: options, dir: dir, account: platformtest.NewRecorder(), store: platformtest.NewStore(), version: 1,
		keys: []string{"key-0", "key-1"}, revoked: map[string]time.Time{}, leaving: map[string]time.Time{}}
	w.server = httptest.NewServer(w.store)
	w.store.PutConfig(w.version, w.keys)
	for i := range options.Engines + options.Services {
		if _, err := w.addTarget(i < options.Engines, zones[i%len(zones)]); err != nil {
			return nil, fmt.Errorf("start target: %w", err)
		}
	}
	for i := range options.Hosts {
		if err := w.addHost(i); err != nil {
			return nil, fmt.Errorf("start host: %w", err)
		}
	}
	return w, nil
}

func (w *world) name(prefix string) string {
	return fmt.Sprintf("%s-%d-%d", prefix, w.options.Seed, w.made)
}

// addHost starts a host on a loopback address that its seed and number give.
func (w *world) addHost(number int) error {
	way, err := newProxy(w.server.Listener.Addr().String())
	if err != nil {
		return err
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 20+w.options.Seed%200, w.options.Seed/200%200, number+1)
	ports := make([]int, 3)
	for i := range ports {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		ports[i] = listener.Addr().(*net.TCPAddr).Port
		defer func() { _ = listener.Close() }()
	}
	h := &host{daemon: w.options.Daemon, dir: w.dir, store: way, boot: platformtest.BootSettings{
		Node: fmt.Sprintf("host-%d", number), Zone: zones[number%len(zones)], IP: ip, FrontPort: ports[0], ReadyPort: ports[1], PeerPort: ports[2],
		StoreAddress: way.address(), RetrySlack: 100, MemoryMB: 200,
	}}
	w.hosts = append(w.hosts, h)
	return nil
}

// run plays the faults and checks the promises. It returns the exit status.
func (w *world) run() int {
	for _, h := range w.hosts {
		if err := h.keep(); err != nil {
			w.broken("host did not start: %v", err)
		}
		defer h.close()
	}
	if !w.awaitReady() {
		w.broken("hosts were not ready at the start")
		return w.report()
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for number := range clients {
		running.Go(func() { w.client(ctx, number) })
	}
	w.play(rand.New(rand.NewPCG(w.options.Seed, 0)))
	if !w.awaitReady() {
		w.broken("hosts were not ready %s after the last fault", settleTime)
	}
	calm := time.Now().Add(time.Second)
	<-time.After(time.Second + calmTime)
	end := time.Now()
	stop()
	running.Wait()
	w.check(calm, end)
	return w.report()
}

// play injects faults in series that overlap.
func (w *world) play(r *rand.Rand) {
	deadline := time.Now().Add(w.options.Duration)
	var running sync.WaitGroup
	for time.Now().Before(deadline) {
		w.mu.Lock()
		f := w.pick(r)
		w.faults = append(w.faults, f.name)
		w.mu.Unlock()
		running.Go(func() { w.inject(f) })
		<-time.After(time.Duration(100+r.IntN(1200)) * time.Millisecond)
	}
	running.Wait()
}

func (w *world) inject(f fault) {
	begun := time.Now()
	f.begin()
	if f.end != nil {
		<-time.After(f.long)
		f.end()
	}
	if f.blinds {
		w.mu.Lock()
		w.blind = append(w.blind, span{begun: begun, ended: time.Now()})
		w.mu.Unlock()
	}
}

// awaitReady waits until all hosts say that they take callers.
func (w *world) awaitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); <-time.After(50 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			response, err := client.Get(h.ready())
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.hosts) {
			return true
		}
	}
	return false
}
