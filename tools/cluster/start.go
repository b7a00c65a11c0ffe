package cluster

import (
	"net/http"
	"strings"
	"time"
)

const (
	// startTimeout limits the wait for a process to start or for a configuration to reach
	// every host.
	startTimeout = 60 * time.Second
	// pollInterval is the time between two checks of WaitFor.
	pollInterval = 100 * time.Millisecond
	// maxMeshHosts is the number of hosts up to which they form a full mesh, so that the
	// status from one host covers all others. It equals the default of
	// membership.Settings.MaxMeshHosts.
	maxMeshHosts = 16
)

// Start starts all processes, accepts the declarations and waits until every host is ready.
// With up to maxMeshHosts hosts it also waits until all of them confirm the configuration.
func (d *Deployment) Start() error {
	if err := d.startStandIns(); err != nil {
		return err
	}
	for _, h := range d.Hosts {
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	if err := d.initialise(); err != nil {
		return err
	}
	for _, h := range d.Hosts {
		if err := WaitFor("host "+h.Name+" ready", func() bool { return respondsOK("http://" + h.AdminAddress + "/readyz") }); err != nil {
			return err
		}
	}
	if len(d.Hosts) > maxMeshHosts {
		return nil
	}
	return d.WaitForConfig()
}

func (d *Deployment) startStandIns() error {
	if _, err := d.startProgram("platform", "platform", "--listen", d.PlatformAddress, "--host-lag", "1s"); err != nil {
		return err
	}
	for _, t := range d.Targets {
		if err := d.startTarget(t); err != nil {
			return err
		}
	}
	return WaitFor("platform", func() bool { return respondsOK("http://" + d.PlatformAddress + "/hosts") })
}

func (d *Deployment) startTarget(t *Target) error {
	program, args := "service", []string{"--listen", t.Address, "--name", t.Name}
	if t.Engine {
		program = "engine"
		args = append(args, "--model", Model, "--model-version", "v1", "--load-lag", "500ms", "--checks-fences")
		args = append(args, d.layout.EngineFlags...)
	}
	_, err := d.startProgram(t.Name, program, args...)
	return err
}

func (d *Deployment) startHost(h *Host) error {
	path, err := d.writeFile(h.Name+".jsonc", d.hostSettings(h))
	if err != nil {
		return err
	}
	h.Process, err = d.startProgram(h.Name, "siskintided", "--settings", path)
	if err != nil {
		return err
	}
	return WaitFor("host "+h.Name, func() bool { return respondsOK("http://" + h.AdminAddress + "/healthz") })
}

// initialise checks the declarations and makes them the first configuration.
func (d *Deployment) initialise() error {
	path, err := d.writeFile("declarations.jsonc", d.declarations())
	if err != nil {
		return err
	}
	if _, err := d.RunCLI("check", path); err != nil {
		return err
	}
	_, err = d.RunCLI("init", path, "--yes")
	return err
}

// respondsOK reports whether a GET of the URL returns status 200.
func respondsOK(url string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitFor polls until the condition holds. It fails after startTimeout.
func WaitFor(what string, condition func() bool) error {
	deadline := time.NewTimer(startTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline.C:
			return &StepError{Step: "wait for " + what, Reason: "timed out"}
		case <-ticker.C:
		}
	}
	return nil
}

// WaitForConfig waits until every host has confirmed the accepted configuration.
func (d *Deployment) WaitForConfig() error {
	return WaitFor("configuration in force", func() bool {
		output, err := d.RunCLI("status", "--output", "json")
		return err == nil && strings.Count(output, `"confirmed":true`) == len(d.Hosts)
	})
}
