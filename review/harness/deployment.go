package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	hostCount    = 3
	readyTimeout = 20 * time.Second
	heartbeat    = 1200 * time.Millisecond
	// routeHost is the host name of all routes.
	routeHost = "booking.example"
	apiKey    = "key-of-team-1"
)

// deployment is the daemon's hosts with the stand-ins around them.
type deployment struct {
	record      *record
	dir         string
	store       *platformtest.Store
	storeServer *http.Server
	storeAddr   string
	hosts       []*host
	runners     []*runner
	stop        chan struct{}
	closing     sync.Once
	// lookupTimeout is the timeout of the route of the lookups, in milliseconds.
	lookupTimeout int
}

func newDeployment(folder string) (*deployment, error) {
	r, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	d := &deployment{record: r, dir: dir, store: platformtest.NewStore(), storeAddr: listener.Addr().String(), lookupTimeout: 5000, stop: make(chan struct{})}
	d.storeServer = &http.Server{Handler: d.store}
	go func() { _ = d.storeServer.Serve(listener) }() // returns when the store is closed
	return d, nil
}

// putConfig writes the operator's configuration: one route of each kind, one team with one key.
func (d *deployment) putConfig(version int, maxBodyBytes int) error {
	route := func(name, prefix, kind, service string, attempts, timeout, goal int) map[string]any {
		return map[string]any{"name": name, "hostname": routeHost, "prefix": prefix, "kind": kind, "timeout-ms": timeout,
			"target-latency-ms": goal, "gap-aim-ms": 180, "priority": 1, "service": service, "max-attempts": attempts,
			"public": false, "sticky": kind == "streaming", "resumable": false}
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("drafts", "/draft/", "streaming", "llm", 1, 39000, 1800),
			route("bookings", "/book/", "non_idempotent", "web", 1, 5000, 300),
			route("lookups", "/", "idempotent", "web", 2, d.lookupTimeout, 300),
		},
		"services": []any{
			map[string]any{"name": "web", "health-path": "/health", "max-conns": 100, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0},
			map[string]any{"name": "llm", "health-path": "/health", "max-conns": 272, "protocol": "h1", "tls": false, "cold-start-s": 1.0, "cold-per-s": 41.0,
				"engine": map[string]any{"slots": 24, "kv-capacity-tokens": 34463, "kv-token-bytes": 327680, "link-mbps": 47000.0,
					"moves": true, "backups": true, "stride": 4, "handle-s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "team-1", "api-keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	d.store.Put("op", "config", text)
	return nil
}

// startHosts starts the hosts and waits until all are ready.
func (d *deployment) startHosts() error {
	for number := range hostCount {
		h, err := newHost(d, number)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	<-time.After(time.Second) // until the hosts have linked to each other
	d.record.add("%d hosts are ready", len(d.hosts))
	return nil
}

// addRunner starts a runner and registers it.
func (d *deployment) addRunner(service, zone string, slots int, serve func(r *runner, c *exchange)) (*runner, error) {
	r, err := newRunner(d, fmt.Sprintf("i-%s-%d", service, len(d.runners)), service, zone, slots, serve)
	if err != nil {
		return nil, err
	}
	d.runners = append(d.runners, r)
	return r, nil
}

// runCount returns how often all runners have run a request.
func (d *deployment) runCount(id string) int {
	count := 0
	for _, r := range d.runners {
		count += r.ran(id)
	}
	return count
}

// ranAt lists the runners that have run a request.
func (d *deployment) ranAt(id string) []string {
	var ids []string
	for _, r := range d.runners {
		if r.ran(id) > 0 {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	d.closing.Do(func() {
		close(d.stop)
		for _, h := range d.hosts {
			h.close()
		}
		for _, r := range d.runners {
			_ = r.listener.Close()
		}
		_ = d.storeServer.Close()
		_ = os.RemoveAll(d.dir)
	})
}
