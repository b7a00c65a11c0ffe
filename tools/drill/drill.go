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

// drill is one deployment under load with scheduled events.
type drill struct {
	name    string
	about   string
	layout  cluster.Layout
	load    loadgen.Options
	callers func(d *cluster.Deployment) []string // addresses that callers use; nil means all hosts
	events  []event
}

// run starts the deployment, sends the load, brings the events about and writes reports.
func (d drill) run(programs, reports string, keep bool) (err error) {
	dir, err := os.MkdirTemp("", "siskintide-drill-")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	d.layout.BinDir = programs
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
	report, notes, err := d.underLoad(deployment)
	if err != nil {
		return err
	}
	return d.write(filepath.Join(reports, d.name), report, notes)
}

// underLoad sends the load and brings the events about beside it.
func (d drill) underLoad(deployment *cluster.Deployment) (*loadgen.Report, []string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	notes := make(chan []string, 1)
	failed := make(chan error, 1)
	began := time.Now()
	go func() {
		list, err := d.schedule(ctx, deployment, began)
		failed <- err
		notes <- list
	}()
	report, err := loadgen.Run(ctx, d.options(deployment))
	if err != nil {
		return nil, nil, err
	}
	if err := <-failed; err != nil {
		return nil, nil, err
	}
	return report, <-notes, nil
}

// options completes the load with the deployment's addresses.
func (d drill) options(deployment *cluster.Deployment) loadgen.Options {
	options := d.load
	for _, h := range deployment.Hosts {
		options.Addresses = append(options.Addresses, h.CallerAddress)
	}
	if d.callers != nil {
		options.Addresses = d.callers(deployment)
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

// schedule brings each event about at its time and returns what happened when.
func (d drill) schedule(ctx context.Context, deployment *cluster.Deployment, began time.Time) ([]string, error) {
	var notes []string
	for _, e := range d.events {
		timer := time.NewTimer(e.at - time.Since(began))
		select {
		case <-ctx.Done():
			timer.Stop()
			return notes, nil
		case <-timer.C:
		}
		if err := e.do(deployment); err != nil {
			return notes, fmt.Errorf("%s: %w", e.what, err)
		}
		notes = append(notes, fmt.Sprintf("at %.1f s: %s, done after %.1f s", e.at.Seconds(), e.what, time.Since(began).Seconds()))
	}
	return notes, nil
}
