package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"

	"siskintide.example/siskintide/tools/cluster"
)

// operate runs an operator's command.
func operate(args ...string) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error {
		_, err := d.RunCLI(append(args, "--yes")...)
		return err
	}
}

// fault brings a fault about at a stand-in's address.
func fault(address, order string) error {
	response, err := http.Post("http://"+address+"/stand-in/fault", "application/json", strings.NewReader(order))
	if err != nil {
		return fmt.Errorf("bring a fault about: %w", err)
	}
	response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return &cluster.StepError{Step: "fault " + order, Reason: response.Status}
	}
	return nil
}

// platformFault brings a fault about at the platform's stand-in.
func platformFault(order string) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error { return fault(d.PlatformAddress, order) }
}

// engineFault brings a fault about at an engine's stand-in.
func engineFault(name, order string) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error { return fault(d.Target(name).Address, order) }
}

// signal sends a signal to a host's process.
func signal(host string, s syscall.Signal) func(*cluster.Deployment) error {
	return func(d *cluster.Deployment) error {
		d.Host(host).Process.Signal(s)
		return nil
	}
}

// killOwner kills the host that owns a target, and notes nothing if nobody owns it.
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
