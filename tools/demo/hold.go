package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"siskintide.example/siskintide/tools/cluster"
)

// startAndWait starts the deployment, prints how to operate it, and waits for an interrupt.
func (d *demo) startAndWait() error {
	if err := d.start(); err != nil {
		return err
	}
	fmt.Println("export SISKINTIDE_OPERATOR_KEY=" + cluster.OperatorKey)
	fmt.Println("export SISKINTIDE_HOSTS=" + d.adminAddresses())
	for _, h := range d.Hosts {
		fmt.Printf("host %s (pid %d): callers %s, admin %s\n", h.Name, h.Process.PID(), h.CallerAddress, h.AdminAddress)
	}
	fmt.Println("team's API key:", cluster.TeamKey)
	fmt.Println("running until interrupted (Ctrl-C)")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	<-interrupted
	signal.Stop(interrupted)
	return nil
}

// adminAddresses returns the hosts' admin addresses, separated by commas as in
// SISKINTIDE_HOSTS.
func (d *demo) adminAddresses() string {
	list := ""
	for i, h := range d.Hosts {
		if i > 0 {
			list += ","
		}
		list += h.AdminAddress
	}
	return list
}
