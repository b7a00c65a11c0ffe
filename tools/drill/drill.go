package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"siskintide.example/siskintide/tools/cluster"
	"siskintide.example/siskintide/tools/load/loadgen"
)

// drill describes one run of a deployment under load with scheduled events.
type drill struct {
	name            string
	description     string
	layout          cluster.Layout
	load            loadgen.Options
	callerAddresses func(d *cluster.Deployment) []string // returns the addresses that callers use; nil means those of all hosts
	events          []event
}

// run starts the deployment, generates the load, carries out the events and writes the
// reports. The working directory with the logs is kept if keep is set or the drill fails.
func (d drill) run(binDir, reportDir string, keep bool) (err error) {
	dir, err := os.MkdirTemp("", "siskintide-drill-")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	d.layout.BinDir = binDir
	deployment, err := cluster.New(dir, d.layout)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := deployment.StopAll(); err == nil {
			err = stopErr
		}
		if err == nil && !keep {
			os.RemoveAll(dir)
			return
		}
		fmt.Println("logs are in", dir)
	}()
	if err := deployment.Start(); err != nil {
		return err
	}
	if err := deployment.WaitForOwners(); err != nil {
		return err
	}
	report, notes, err := d.runUnderLoad(deployment)
	if err != nil {
		return err
	}
	return d.writeReport(filepath.Join(reportDir, d.name), report, notes)
}

// runUnderLoad generates the load and carries out the events at the same time. It returns the
// report and notes on the events.
func (d drill) runUnderLoad(deployment *cluster.Deployment) (*loadgen.Report, []string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	notes := make(chan []string, 1)
	eventsDone := make(chan error, 1)
	started := time.Now()
	go func() {
		eventNotes, err := d.runEvents(ctx, deployment, started)
		eventsDone <- err
		notes <- eventNotes
	}()
	report, err := loadgen.Run(ctx, d.loadOptions(deployment))
	if err != nil {
		return nil, nil, err
	}
	if err := <-eventsDone; err != nil {
		return nil, nil, err
	}
	return report, <-notes, nil
}

// loadOptions returns the options of the load with the deployment's addresses filled in.
func (d drill) loadOptions(deployment *cluster.Deployment) loadgen.Options {
	options := d.load
	for _, h := range deployment.Hosts {
		options.Addresses = append(options.Addresses, h.CallerAddress)
	}
	if d.callerAddresses != nil {
		options.Addresses = d.callerAddresses(deployment)
	}
	for _, t := range deployment.Targets {
		if t.Engine {
			options.Engines = append(options.Engines, t.Address)
		}
	}
	options.Callers = []loadgen.Caller{{Team: "team-1", Key: cluster.TeamKey, Class: "interactive", Weight: 1}}
	options.Model = cluster.Model
	options.CheckVersion = "v1"
	return options
}

// runEvents carries out each event at its time. It returns one note for each event, with the
// times at which it was due and done.
func (d drill) runEvents(ctx context.Context, deployment *cluster.Deployment, started time.Time) ([]string, error) {
	var notes []string
	for _, e := range d.events {
		timer := time.NewTimer(e.at - time.Since(started))
		select {
		case <-ctx.Done():
			timer.Stop()
			return notes, nil
		case <-timer.C:
		}
		if err := e.action(deployment); err != nil {
			return notes, fmt.Errorf("%s: %w", e.description, err)
		}
		notes = append(notes, fmt.Sprintf("at %.1f s: %s, done after %.1f s", e.at.Seconds(), e.description, time.Since(started).Seconds()))
	}
	return notes, nil
}
