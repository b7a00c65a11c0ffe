// Command capacity measures what control costs an entry host: processor time, memory,
// bytes between hosts and operations at the platform, against the number of hosts,
// targets, teams and configuration changes. It starts real processes on loopback, writes
// a report as text and JSON and a plot, and stops everything.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	programs, report := "bin", "docs/capacity"
	window, only := 20*time.Second, ""
	flaggy.SetName("capacity")
	flaggy.SetDescription("measures the cost of control against the size of a deployment")
	flaggy.String(&programs, "b", "bin", "directory of the built programs")
	flaggy.String(&report, "r", "report", "path of the report, without an ending")
	flaggy.String(&only, "", "only", "the one sweep to run: hosts, targets, teams or changes")
	flaggy.Duration(&window, "w", "window", "time over which each point is measured")
	flaggy.Parse()
	if err := run(programs, report, only, window); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run measures every point and writes the report.
func run(programs, path, only string, window time.Duration) error {
	var points []point
	for _, s := range series() {
		if only != "" && only != s.name {
			continue
		}
		for _, size := range s.sizes {
			p, err := measure(programs, s.name, size, window)
			if err != nil {
				return fmt.Errorf("%s %+v: %w", s.name, size, err)
			}
			fmt.Println(p)
			points = append(points, p)
		}
	}
	return writeReport(path, report{Window: window.String(), Points: points, Slopes: slopes(points)})
}
