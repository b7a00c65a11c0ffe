// Command experiment compares admission policies for model engines in simulated time, with
// the same arrivals for each policy. It prints a table, and writes JSON and a plot if their
// paths are given.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

const fileMode = 0o644

// loads lists the offered loads in percent of the measured capacity.
var loads = []int{70, 100, 130}

func main() {
	seconds, workers := 600, 4
	c := comparison{seed: 1}
	var jsonPath, plotPath string
	flaggy.SetName("experiment")
	flaggy.SetDescription("compares admission policies in simulated time")
	flaggy.UInt64(&c.seed, "s", "seed", "seed of the arrivals")
	flaggy.Int(&seconds, "t", "seconds", "simulated seconds that are measured")
	flaggy.Int(&workers, "w", "workers", "runs at the same time")
	flaggy.String(&c.onlyMix, "m", "mix", "only this mix")
	flaggy.String(&jsonPath, "j", "json", "file for the results as JSON")
	flaggy.String(&plotPath, "p", "plot", "file for a plot as SVG")
	flaggy.Parse()
	c.measuredTime = time.Duration(seconds) * time.Second
	c.workers = workers
	if err := run(&c, jsonPath, plotPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c *comparison, jsonPath, plotPath string) error {
	var results []result
	for _, m := range mixes() {
		if c.onlyMix != "" && c.onlyMix != m.name {
			continue
		}
		capacity := c.measureCapacity(&m)
		fmt.Printf("%s: capacity %.2f requests a second\n", m.name, capacity)
		for _, load := range loads {
			results = append(results, c.comparePolicies(&m, capacity, load)...)
		}
	}
	if err := printTable(os.Stdout, results); err != nil {
		return err
	}
	printGoals(os.Stdout, results)
	if err := writeJSON(jsonPath, results); err != nil {
		return err
	}
	return writePlot(plotPath, results)
}

func writeJSON(path string, results []result) error {
	if path == "" {
		return nil
	}
	body, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.WriteFile(path, append(body, '\n'), fileMode); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}
