package main

import (
	"fmt"
	"strings"
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// demo runs the steps on a deployment.
type demo struct {
	*cluster.Deployment
}

// newDemo prepares three hosts, four engines and two processes of a service in two data
// centres.
func newDemo(binDir, dir string) (*demo, error) {
	deployment, err := cluster.New(dir, cluster.Layout{
		BinDir:      binDir,
		DataCentres: []string{"oslo-a", "oslo-b"},
		Hosts:       2,
		Engines:     2,
		Services:    1,
		EngineKind:  cluster.DefaultEngineKind(),
		EngineFlags: []string{"--load-time", "500ms"},
		Timing:      cluster.FastTiming(),
	})
	if err != nil {
		return nil, err
	}
	deployment.RemoveHost("oslo-b-2")
	return &demo{Deployment: deployment}, nil
}

// start starts the deployment and prints how long that took.
func (d *demo) start() error {
	began := time.Now()
	if err := d.Start(); err != nil {
		return err
	}
	fmt.Printf("%d hosts in 2 data centres ready, configuration in force everywhere, %.1f s after the first process\n",
		len(d.Hosts), time.Since(began).Seconds())
	return nil
}

// runCLI prints and runs a call of the operators' command line tool.
func (d *demo) runCLI(args ...string) (string, error) {
	fmt.Println("$ siskintide", strings.Join(args, " "))
	return d.RunCLI(args...)
}

// printIndented prints each line of the output with an indent.
func printIndented(output string) {
	for line := range strings.Lines(strings.TrimSpace(output)) {
		fmt.Println("    " + strings.TrimRight(line, "\n"))
	}
}
