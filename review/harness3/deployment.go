package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	frontPort = 8740
	readyPort = 8749
	storePort = 8742
	peerPort  = 7200
	graceS    = 8

	storeHost  = 250              // last octet of the store's address
	startTime  = 20 * time.Second // for hosts to become ready
	heartbeat  = 1200 * time.Millisecond
	readyEvery = 50 * time.Millisecond
)

// deployment is a small deployment on loopback addresses of its own: a store, hosts as processes, and what the case adds.
type deployment struct {
	record   *record
	net      string // first three octets of all addresses
	dir      string // temporary folder with the settings files
	store    *platformtest.Store
	server   *http.Server
	hosts    []*host
	stopped  <-chan struct{} // closed when the deployment is closed
	closing  context.Context // ends with it
	stop     context.CancelFunc
	memoryMB int
}

// newDeployment starts the store.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	d := &deployment{record: r, dir: dir, store: platformtest.NewStore(), memoryMB: 134}
	d.closing, d.stop = context.WithCancel(context.Background())
	d.stopped = d.closing.Done()
	for range 20 { // until a range of addresses is free
		d.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if err = d.serveStore(); err == nil {
			return d, nil
		}
	}
	return nil, err
}

// serveStore serves the store at its address.
func (d *deployment) serveStore() error {
	listener, err := net.Listen("tcp", d.address(storeHost, storePort))
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	d.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (d *deployment) address(octet, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.net, octet, port)
}

// settings returns the settings file of a host in the layout of the users' pages.
func (d *deployment) settings(name, ip, zone string) string {
	return fmt.Sprintf(`node-name: %q
role: "edge"
machine-class: "edge"
serves:
  - "edge"
ip: %q
zone: %q
region: "oslo"
zones:
  oslo-a: "oslo"
  oslo-b: "oslo"
  oslo-c: "oslo"
listen:
  front: "%s:%d"
  readiness: "%s:%d"
internal-ports:
  - %d
  - %d
bootstrap: true
limits:
  cpu-share: 0.4
  cores: 1
  memory-mb: %d
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: 0
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"]
bounds:
  addr-reuse-s: 2
  contact-ms: 3000
  drain-ms: 2000
  grace-s: %d
  loss-slack-ms: 200
  config-deadline-ms: 2000
  revoke-strict: true
  revoke-ms: 5000
  retry-budget-ratio: 0.2
  budget-window-s: 10
  retry-slack: 54
  cold-over: 1.5
  cold-slack: 5
  evacuate-ms: 5000
provider:
  address: "%s"
  form: "table"
`, name, ip, zone, ip, frontPort, ip, readyPort, peerPort, peerPort+15, d.memoryMB, graceS, d.address(storeHost, storePort))
}

// startHost starts a host's process.
func (d *deployment) startHost(octet int, zone string) (*host, error) {
	h := &host{name: fmt.Sprintf("edge-%d", octet), ip: fmt.Sprintf("%s.%d", d.net, octet)}
	h.settings = filepath.Join(d.dir, h.name+".yaml")
	if err := os.WriteFile(h.settings, []byte(d.settings(h.name, h.ip, zone)), 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return h, d.start(h)
}

// start starts the process of a host that does not run.
func (d *deployment) start(h *host) error {
	h.command, h.exited = exec.Command("target/siskintided", "platform"), make(chan struct{})
	h.command.Env = []string{"SISKINTIDE_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	output, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer func() { _ = output.Close() }()
	h.command.Stdout, h.command.Stderr = output, output
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	d.hosts = append(d.hosts, h)
	go func(c *exec.Cmd, exited chan struct{}) { _ = c.Wait(); close(exited) }(h.command, h.exited)
	d.record.note("host %s started at %s, process %d", h.name, h.ip, h.command.Process.Pid)
	return nil
}

// awaitReady waits until a host says that it is ready.
func (d *deployment) awaitReady(h *host) error {
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); <-time.After(readyEvery) {
		if h.ready() {
			return nil
		}
	}
	text, _ := os.ReadFile(filepath.Join(d.dir, h.name+".log"))
	return fmt.Errorf("host %s did not become ready: %s", h.name, strings.TrimSpace(string(text)))
}

// register writes a runner's registry entry, and again every heartbeat until the deployment is closed. The returned function
// changes the state that the runner writes, at once; an empty state ends it and removes the entry.
func (d *deployment) register(id, service, address string, slots int) func(state string) {
	states, seq, born := make(chan string), 0, time.Now().UnixMilli()
	put := func(state string) {
		seq++
		entry, err := json.Marshal(map[string]any{"service": service, "address": address, "zone": "oslo-a", "version": "v1",
			"slots": slots, "state": state, "cold-left-ms": 0, "seq": seq, "born": born})
		if err == nil {
			d.store.Put("servers", id, entry)
		}
	}
	put("ready")
	go func() {
		ticker, state := time.NewTicker(heartbeat), "ready"
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case state = <-states:
			case <-d.stopped:
				return
			}
			if state == "" {
				d.store.Delete("servers", id)
				return
			}
			put(state)
		}
	}()
	return func(state string) {
		select {
		case states <- state:
		case <-d.stopped:
		}
	}
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.stop()
	for _, h := range d.hosts {
		select {
		case <-h.exited:
		default:
			_ = h.command.Process.Signal(syscall.SIGCONT)
			_ = h.command.Process.Kill()
			<-h.exited
		}
	}
	_ = d.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}
