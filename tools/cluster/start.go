package cluster

import (
	"net/http"
	"strings"
	"time"
)

const (
	// startTimeout bounds the start of a process or the spread of a configuration.
	startTimeout = 60 * time.Second
	// checkEvery is the time between two checks while a caller waits.
	checkEvery = 100 * time.Millisecond
	// fullMesh is the number of hosts up to which each one hears of all others.
	fullMesh = 16
)

// Start starts all processes, accepts the declarations and waits until every host is ready.
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
		if err := WaitFor("host "+h.Name+" ready", func() bool { return answers("http://" + h.AdminAddress + "/readyz") }); err != nil {
			return err
		}
	}
	if len(d.Hosts) > fullMesh {
		return nil
	}
	return d.WaitForConfig()
}

func (d *Deployment) startStandIns() error {
	if _, err := d.launch("platform", "platform", "--listen", d.PlatformAddress, "--host-lag", "1s"); err != nil {
		return err
	}
	for _, t := range d.Targets {
		if err := d.startTarget(t); err != nil {
			return err
		}
	}
	return WaitFor("platform", func() bool { return answers("http://" + d.PlatformAddress + "/hosts") })
}

func (d *Deployment) startTarget(t *Target) error {
	program, args := "service", []string{"--listen", t.Address, "--name", t.Name}
	if t.Engine {
		program = "engine"
		args = append(args, "--model", Model, "--model-version", "v1", "--load-lag", "500ms", "--checks-fences")
		args = append(args, d.layout.EngineFlags...)
	}
	_, err := d.launch(t.Name, program, args...)
	return err
}

func (d *Deployment) startHost(h *Host) error {
	path, err := d.writeFile(h.Name+".jsonc", d.settingsOf(h))
	if err != nil {
		return err
	}
	h.Process, err = d.launch(h.Name, "siskintided", "--settings", path)
	if err != nil {
		return err
	}
	return WaitFor("host "+h.Name, func() bool { return answers("http://" + h.AdminAddress + "/healthz") })
}

// initialise checks the declarations and accepts them as the first configuration.
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

// answers reports whether a URL answers 200.
func answers(url string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitFor checks until the condition holds, for a bounded time.
func WaitFor(what string, condition func() bool) error {
	deadline := time.NewTimer(startTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(checkEvery)
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

// WaitForConfig waits until every host has reported the accepted revision.
func (d *Deployment) WaitForConfig() error {
	return WaitFor("configuration in force", func() bool {
		output, err := d.RunCLI("status", "--output", "json")
		return err == nil && strings.Count(output, `"confirmed":true`) == len(d.Hosts)
	})
}
