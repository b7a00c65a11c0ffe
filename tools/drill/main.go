// Command drill runs deployments of real processes on loopback under load, injects faults and
// makes operators' changes on a schedule, and writes the latencies and outcomes that callers
// see as text, JSON and a plot.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"
)

func main() {
	binDir, reportDir, selected, keep := "bin", "docs/drills", "", false
	flaggy.SetName("drill")
	flaggy.SetDescription("service under faults and changes, with real processes on loopback")
	flaggy.String(&binDir, "b", "bin", "directory of the built programs")
	flaggy.String(&reportDir, "r", "reports", "directory of the reports")
	flaggy.String(&selected, "o", "only", "drills to run, separated by commas; empty means all")
	flaggy.Bool(&keep, "k", "keep", "keep the directories with the logs of the processes")
	flaggy.Parse()
	for _, d := range drills() {
		if selected != "" && !strings.Contains(","+selected+",", ","+d.name+",") {
			continue
		}
		if err := d.run(binDir, reportDir, keep); err != nil {
			fmt.Fprintf(os.Stderr, "drill %s: %v\n", d.name, err)
			os.Exit(1)
		}
	}
}
