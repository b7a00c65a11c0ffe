package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"

	"siskintide.example/siskintide/tools/cluster"
)

// operatorCommand returns an action that runs an operator's command with --yes.
func operatorCommand(args ...string) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error {
		_, err := d.RunCLI(append(args, "--yes")...)
		return err
	}
}

// injectFault posts a fault specification in JSON to the stand-in at the address.
func injectFault(address, spec string) error {
	response, err := http.Post("http://"+address+"/stand-in/fault", "application/json", strings.NewReader(spec))
	if err != nil {
		return fmt.Errorf("inject fault: %w", err)
	}
	response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return &cluster.StepError{Step: "fault " + spec, Reason: response.Status}
	}
	return nil
}

// platformFault returns an action that injects a fault into the platform's stand-in.
func platformFault(spec string) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error { return injectFault(d.PlatformAddress, spec) }
}

// engineFault returns an action that injects a fault into an engine's stand-in.
func engineFault(name, spec string) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error { return injectFault(d.Target(name).Address, spec) }
}

// signalHost returns an action that sends a signal to a host's process.
func signalHost(host string, s syscall.Signal) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error {
		d.Host(host).Process.Signal(s)
		return nil
	}
}

// killOwner returns an action that kills the host that owns a target. The action fails if no
// owner is known.
func killOwner(target string) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error {
		owner, err := d.OwnerOf(target)
		if err != nil {
			return err
		}
		d.Host(owner).Process.Kill()
		return nil
	}
}
