// Command demo starts three hosts in two data centres with stand-ins of the platform, of
// engines and of a plain service on loopback, runs the steps listed in steps.go, prints
// their results and stops everything. It exits with status 1 if a step failed.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

func main() {
	binDir := "bin"
	keep := false
	hold := false
	flaggy.SetName("demo")
	flaggy.SetDescription("runs a deployment with stand-ins on this machine and shows its main functions")
	flaggy.String(&binDir, "b", "bin", "directory of the built programs")
	flaggy.Bool(&keep, "k", "keep", "keep the directory with logs and settings")
	flaggy.Bool(&hold, "", "hold", "only start the deployment and keep it running until interrupted")
	flaggy.Parse()
	if err := run(binDir, keep, hold); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	if !hold {
		fmt.Println("all steps passed")
	}
}

// run runs every step in a new temporary directory and stops all processes. It keeps the
// directory on request or after a failure.
func run(binDir string, keep, hold bool) (err error) {
	dir, err := os.MkdirTemp("", "siskintide-demo-")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	d, err := newDemo(binDir, dir)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := d.StopAll(); err == nil {
			err = stopErr
		}
		if keep || err != nil {
			fmt.Println("logs and settings are in", dir)
			return
		}
		os.RemoveAll(dir)
	}()
	if hold {
		return d.startAndWait()
	}
	for _, step := range d.steps() {
		if err := step.run(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}
