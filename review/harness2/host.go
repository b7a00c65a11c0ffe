package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Ports of a host. Each host has a loopback IP of its own.
const (
	frontPort   = 8740
	readyPort   = 8749
	peerPort    = 7200
	lastPort    = 7215
	metricsPort = 9100
)

// host is one process of the daemon.
type host struct {
	name, ip, zone string
	process        *process
	log            string // path of its output
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

// startHost starts the daemon with the command of the deploy file.
func (s *session) startHost(zone string) (*host, error) {
	s.nextHost++
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, s.nextHost), zone: zone}
	for try := 0; ; try++ {
		h.ip = fmt.Sprintf("127.%d.%d.%d", 20+(os.Getpid()+try)%200, os.Getpid()/200%250, 1+s.nextHost)
		if portsFree(h.ip) {
			break
		}
		if try > 50 {
			return nil, fmt.Errorf("no free loopback address for a host")
		}
	}
	path := filepath.Join(s.folder, h.name+".yaml")
	if err := os.WriteFile(path, []byte(s.settings(h)), 0o600); err != nil {
		return nil, err
	}
	h.log = filepath.Join(s.folder, h.name+".log")
	output, err := os.Create(h.log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()
	h.process, err = s.start(output, []string{"SISKINTIDE_BOOT=" + path}, s.daemon, "platform")
	if err != nil {
		return nil, err
	}
	s.record.add("host %s started at %s", h.name, h.ip)
	return h, nil
}

// portsFree reports whether the ports of a host are free at a loopback IP.
func portsFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, peerPort, metricsPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// ready asks the host as the balancer does.
func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/siskintide/ready", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// settings returns the settings file of a host, with the figures of stemmebu-ruter.
func (s *session) settings(h *host) string {
	return fmt.Sprintf(`node-name: "%[1]s"
role: "edge"
machine-class: "edge"
serves:
  - "edge"
ip: "%[2]s"
zone: "%[3]s"
region: "oslo"
zones:
  oslo-a: "oslo"
  oslo-b: "oslo"
  oslo-c: "oslo"
listen:
  front: "%[2]s:%[4]d"
  readiness: "%[2]s:%[5]d"
internal-ports:
  - %[6]d
  - %[7]d
seeds: []
bootstrap: true
loss-counts: false
limits:
  cpu-share: 0.4
  cores: 1
  memory-mb: 134
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"]
fault-tolerance:
  machines: 2
  zones: 1
  regions: 0
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
provider:
  address: "%[8]s"
  form: "table"
  writes-per-s: 400
  reads-per-s: 2000
  tx-ms: 3.0
  part-writes-per-s: 300
  row-bytes: 65536
  across: true
  history-s: 20
`, h.name, h.ip, h.zone, frontPort, readyPort, peerPort, lastPort, s.storeAt)
}
