package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// startTimeout bounds the start of a process or the spread of a configuration.
	startTimeout = 30 * time.Second
	// checkEvery is the time between two checks while the demo waits.
	checkEvery = 100 * time.Millisecond
)

// start starts all processes, accepts the declarations and waits until every host is ready.
func (d *deployment) start() error {
	if err := d.startStandIns(); err != nil {
		return err
	}
	for _, h := range d.hosts {
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	if err := d.initialise(); err != nil {
		return err
	}
	began := time.Now()
	for _, h := range d.hosts {
		if err := waitFor("host "+h.name+" ready", func() bool { return answers("http://" + h.admin + "/readyz") }); err != nil {
			return err
		}
	}
	if err := d.waitConfirmed(); err != nil {
		return err
	}
	fmt.Printf("%d hosts ready, configuration in force everywhere after %d ms\n", len(d.hosts), time.Since(began).Milliseconds())
	return nil
}

func (d *deployment) startStandIns() error {
	if _, err := d.launch("platform", "platform", "--listen", d.platform, "--host-lag", "1s"); err != nil {
		return err
	}
	for _, t := range d.targets {
		program, args := "service", []string{"--listen", t.address, "--name", t.name}
		if t.engine {
			program = "engine"
			args = append(args, "--model", model, "--model-version", "v1", "--load-lag", "500ms", "--checks-fences")
		}
		if _, err := d.launch(t.name, program, args...); err != nil {
			return err
		}
	}
	return waitFor("platform", func() bool { return answers("http://" + d.platform + "/hosts") })
}

func (d *deployment) startHost(h *host) error {
	path, err := d.writeFile(h.name+".jsonc", d.settingsOf(h))
	if err != nil {
		return err
	}
	h.process, err = d.launch(h.name, "siskintided", "--settings", path)
	if err != nil {
		return err
	}
	return waitFor("host "+h.name, func() bool { return answers("http://" + h.admin + "/healthz") })
}

// initialise checks the declarations and accepts them as the first configuration.
func (d *deployment) initialise() error {
	path, err := d.writeFile("declarations.jsonc", d.declarations())
	if err != nil {
		return err
	}
	if _, err := d.operate("check", path); err != nil {
		return err
	}
	_, err = d.operate("init", path, "--yes")
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

// waitFor checks until the condition holds, for a bounded time.
func waitFor(what string, condition func() bool) error {
	deadline := time.NewTimer(startTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline.C:
			return &stepError{step: "wait for " + what, reason: "timed out"}
		case <-ticker.C:
		}
	}
	return nil
}
