// Command sidebyside sends the same load through the hosts of a deployment on
// loopback and directly to its engines, in alternate runs. Each run starts its own
// deployment, so that every run starts with cold engines. It checks every token, writes a
// report of each run and stops all processes.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/cluster"
	"siskintide.example/siskintide/tools/load/loadgen"
)

const (
	drainTimeout = time.Minute // how long requests may run on after the last one was started
	maxTokens    = core.Tokens(500)
	promptBytes  = 600 // median
	maxResumes   = 3
)

func main() {
	o := options{binDir: "bin", hosts: 1, engines: 1, coldStreams: 4, rate: 4, duration: 20 * time.Second, rounds: 2, seed: 1}
	flaggy.SetName("sidebyside")
	flaggy.SetDescription("the same load through entry hosts and straight to engines")
	flaggy.String(&o.binDir, "b", "bin", "directory of the built programs")
	flaggy.String(&o.outDir, "o", "out", "directory for the reports")
	flaggy.Int(&o.hosts, "", "hosts", "entry hosts")
	flaggy.Int(&o.engines, "", "engines", "model engines")
	flaggy.Int(&o.coldStreams, "", "cold-streams", "streams that engines bear while cold")
	flaggy.Float64(&o.rate, "r", "rate", "requests a second")
	flaggy.Duration(&o.duration, "d", "duration", "of each run")
	flaggy.Int(&o.rounds, "", "rounds", "pairs of runs, relayed and direct")
	flaggy.UInt64(&o.seed, "", "seed", "seed of the load")
	flaggy.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "sidebyside:", err)
		os.Exit(1)
	}
}

// run carries out all rounds. Each round is a relayed run followed by a direct run.
func run(o options) error {
	for round := range o.rounds {
		for _, direct := range []bool{false, true} {
			report, err := measure(o, direct)
			if err != nil {
				return err
			}
			if err := writeReport(report, o.outDir, fmt.Sprintf("round-%d-direct-%t", round+1, direct)); err != nil {
				return err
			}
		}
	}
	return nil
}

// measure starts a deployment, generates the load of one run and stops the deployment.
func measure(o options, direct bool) (report *loadgen.Report, err error) {
	dir, err := os.MkdirTemp("", "siskintide-sidebyside-")
	if err != nil {
		return nil, fmt.Errorf("create temporary directory: %w", err)
	}
	defer os.RemoveAll(dir)
	d, err := cluster.New(dir, clusterLayout(o))
	if err != nil {
		return nil, fmt.Errorf("create deployment: %w", err)
	}
	defer func() {
		if stopErr := d.StopAll(); err == nil {
			err = stopErr
		}
	}()
	if err := d.Start(); err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	return loadgen.Run(context.Background(), loadOptions(d, o, direct))
}

// clusterLayout returns the layout of the deployment for the given options.
func clusterLayout(o options) cluster.Layout {
	kind := cluster.DefaultEngineKind()
	kind.ColdStreams = o.coldStreams
	kind.WarmStreams = max(kind.WarmStreams, o.coldStreams)
	return cluster.Layout{
		BinDir:      o.binDir,
		DataCentres: []string{"oslo-a"},
		Hosts:       o.hosts,
		Engines:     o.engines,
		EngineFlags: []string{"--cold-streams", fmt.Sprint(o.coldStreams)},
		Teams:       2,
		EngineKind:  kind,
		Timing:      cluster.ProductionTiming(),
	}
}

// writeReport prints a report and saves it if an output directory is given.
func writeReport(report *loadgen.Report, outDir, name string) error {
	fmt.Println(name)
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	if outDir == "" {
		return nil
	}
	return report.Save(filepath.Join(outDir, name))
}

// loadOptions returns the load of one run.
func loadOptions(d *cluster.Deployment, o options, direct bool) loadgen.Options {
	load := loadgen.Options{
		Direct: direct,
		Callers: []loadgen.Caller{
			{Team: "team-1", Key: cluster.TeamKey, Class: "interactive", Weight: 3},
			{Team: "team-2", Key: cluster.TeamKey + "-2", Class: "batch", Weight: 1},
		},
		Model:        cluster.Model,
		CheckVersion: "v1",
		Rate:         o.rate,
		Duration:     o.duration,
		DrainTimeout: drainTimeout,
		MaxTokens:    maxTokens,
		PromptBytes:  promptBytes,
		MaxResumes:   maxResumes,
		Seed:         o.seed,
	}
	for _, target := range d.Targets {
		if target.Engine {
			load.Engines = append(load.Engines, target.Address)
		}
	}
	load.Addresses = load.Engines
	if !direct {
		load.Addresses = nil
		for _, host := range d.Hosts {
			load.Addresses = append(load.Addresses, host.CallerAddress)
		}
	}
	return load
}
