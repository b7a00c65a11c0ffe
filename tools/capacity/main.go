// Command capacity measures the cost of control work on hosts without load: processor
// time, memory, bytes between hosts and operations on the platform, against the number of
// hosts, targets, teams and configuration changes. It starts real processes on loopback,
// writes a report as text, JSON and a plot, and stops all processes.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	binDir, reportPath := "bin", "docs/capacity"
	window, selected := 20*time.Second, ""
	flaggy.SetName("capacity")
	flaggy.SetDescription("measures the cost of control against the size of a deployment")
	flaggy.String(&binDir, "b", "bin", "directory of the built programs")
	flaggy.String(&reportPath, "r", "report", "path of the report, without an ending")
	flaggy.String(&selected, "", "only", "the one sweep to run: hosts, targets, teams or changes")
	flaggy.Duration(&window, "w", "window", "time over which each point is measured")
	flaggy.Parse()
	if err := run(binDir, reportPath, selected, window); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run measures all points of the selected sweeps and writes the report.
func run(binDir, path, selected string, window time.Duration) error {
	var points []point
	for _, s := range sweeps() {
		if selected != "" && selected != s.name {
			continue
		}
		for _, size := range s.sizes {
			p, err := measure(binDir, s.name, size, window)
			if err != nil {
				return fmt.Errorf("%s %+v: %w", s.name, size, err)
			}
			fmt.Println(p)
			points = append(points, p)
		}
	}
	return writeReport(path, report{Window: window.String(), Points: points, Slopes: slopes(points)})
}
