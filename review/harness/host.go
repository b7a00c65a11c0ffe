package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	daemonPath = "target/siskintided" // as the deploy file's run line names it
	// metricsPort is fixed in the deploy file, so each host has an address of its own.
	metricsPort = 9100
	memoryMB    = 134
	// memoryCheckInterval is the time between two looks at a process's memory.
	memoryCheckInterval = 2 * time.Millisecond
)

// host is one daemon process. Like the platform, it kills the process when its memory exceeds
// the limit, and restarts it when it has ended.
type host struct {
	d                        *deployment
	name, ip, zone           string
	front, ready, peer       int
	log                      *os.File
	mu                       sync.Mutex
	process                  *os.Process // nil while none runs
	closed                   bool
	starts, killed, ownExits int
	peakKB                   int
	done                     chan struct{}
}

func newHost(d *deployment, number int) (*host, error) {
	h := &host{d: d, name: fmt.Sprintf("edge-%d", number), zone: zoneName(number), done: make(chan struct{})}
	for try := range 200 {
		h.ip = fmt.Sprintf("127.%d.%d.%d", 30+(os.Getpid()+try)%200, os.Getpid()/200%250, number+2)
		ports, err := freePorts(h.ip)
		if err == nil {
			h.front, h.ready, h.peer = ports[0], ports[1], ports[2]
			return h, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address for %s", h.name)
}

func zoneName(number int) string { return "oslo-" + string(rune('a'+number%3)) }

// freePorts returns three free ports of an address at which the port of the metrics is free too.
func freePorts(ip string) ([]int, error) {
	metrics, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(metricsPort)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = metrics.Close() }()
	ports := make([]int, 3)
	for i := range ports {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

func (h *host) address() string { return net.JoinHostPort(h.ip, strconv.Itoa(h.front)) }

// settings returns the settings file in the format of the platform's pages.
func (h *host) settings() string {
	return fmt.Sprintf(`node-name: %q
role: "edge"
machine-class: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "oslo"
zones: {oslo-a: "oslo", oslo-b: "oslo", oslo-c: "oslo"}
listen: {front: "%s:%d", readiness: "%s:%d"}
internal-ports: [%d, %d]
seeds: []
bootstrap: true
loss-counts: false
limits: {cpu-share: 0.4, cores: 1, memory-mb: %d, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
fault-tolerance: {machines: 2, zones: 1, regions: 0}
bounds:
  seed-lag-s: 3
  addr-reuse-s: 2
  contact-ms: 3000
  ack-ms: 4000
  catch-up-s: 4
  drain-ms: 2000
  grace-s: 8
  loss-slack-ms: 200
  config-deadline-ms: 2000
  rollback-slack-ms: 250
  max-skew-ms: 5000
  revoke-strict: true
  revoke-ms: 5000
  retry-budget-ratio: 0.2
  budget-window-s: 10
  retry-slack: 54
  cold-over: 1.5
  cold-slack: 5
  evacuate-ms: 5000
  recover-s: 12
  pass-ms: 120
  reuse-window-s: 4.8
provider: {address: %q, form: "table", writes-per-s: 400, reads-per-s: 2000, tx-ms: 3.0, part-writes-per-s: 300, row-bytes: 65536, across: true, history-s: 20}
`, h.name, h.ip, h.zone, h.ip, h.front, h.ip, h.ready, h.peer, h.peer+15, memoryMB, h.d.storeAddr)
}

// start runs the process in the background and restarts it until the host is closed.
func (h *host) start() error {
	path := filepath.Join(h.d.dir, h.name+".yaml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if _, err := os.Stat(daemonPath); err != nil {
		return fmt.Errorf("the daemon is not built: %w", err)
	}
	var err error
	if h.log, err = os.Create(filepath.Join(h.d.dir, h.name+".log")); err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	go func() {
		defer close(h.done)
		defer func() { _ = h.log.Close() }()
		for h.runProcess(path) {
			<-time.After(500 * time.Millisecond)
		}
	}()
	return nil
}

// runProcess runs the process until it ends. It returns false once the host is closed.
func (h *host) runProcess(settings string) bool {
	command := exec.Command(daemonPath, "platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINTIDE_BOOT=" + settings}
	command.Stdout, command.Stderr = h.log, h.log
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return false
	}
	err := command.Start()
	h.process = command.Process
	h.starts++
	h.mu.Unlock()
	if err != nil {
		h.d.record.add("%s could not be started: %v", h.name, err)
		return false
	}
	ended := make(chan struct{})
	go h.watchMemory(command.Process, ended)
	_ = command.Wait()
	close(ended)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = nil
	if !h.closed {
		h.ownExits++
		h.d.record.add("%s: process has ended: %s", h.name, command.ProcessState)
	}
	return !h.closed
}

// watchMemory kills the process when its resident memory exceeds the limit.
func (h *host) watchMemory(process *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryCheckInterval):
		}
		kb := residentKB(process.Pid)
		h.mu.Lock()
		h.peakKB = max(h.peakKB, kb)
		exceeds := kb > memoryMB<<10 && !h.closed
		if exceeds {
			h.killed++
		}
		h.mu.Unlock()
		if exceeds {
			h.d.record.add("%s: process has %d kB of memory, over its limit of %d kB: killed, as the platform does", h.name, kb, memoryMB<<10)
			_ = process.Kill()
			return
		}
	}
}

// residentKB returns the resident memory of a process without pages of files, or zero if it is not known.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb
		}
	}
	return 0
}

// signal sends a signal to the process, if one runs.
func (h *host) signal(signal os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(signal)
	}
}

// awaitReady waits until the readiness check succeeds.
func (h *host) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d/siskintide/ready", h.ip, h.ready)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); <-time.After(50 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready in time", h.name)
}

// close ends the process without a restart.
func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	started := h.starts > 0
	h.mu.Unlock()
	h.signal(os.Kill)
	if started {
		<-h.done
	}
}
