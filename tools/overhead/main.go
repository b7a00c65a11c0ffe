package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	m := measurement{binDir: "bin", engines: 10, rate: 60, length: 200, duration: 15 * time.Second, rounds: 3, seed: 20261204}
	out := ""
	flaggy.SetName("overhead")
	flaggy.SetDescription("what an entry host adds to first tokens and token gaps, with real processes on loopback")
	flaggy.String(&m.binDir, "b", "bin", "directory of the built programs")
	flaggy.Int(&m.engines, "e", "engines", "stand-ins of engines")
	flaggy.Float64(&m.rate, "r", "rate", "requests a second")
	flaggy.Int(&m.length, "l", "length", "tokens of each answer")
	flaggy.Duration(&m.duration, "d", "duration", "no request of a run begins later")
	flaggy.Int(&m.rounds, "n", "rounds", "pairs of runs, one direct and one relayed")
	flaggy.UInt64(&m.seed, "s", "seed", "seed of the load")
	flaggy.String(&out, "o", "out", "path of the reports without their endings")
	flaggy.Parse()
	if err := run(m, out); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

// run carries out the measurement, prints the report and writes it as text and JSON if a path
// is given.
func run(m measurement, out string) error {
	result, err := m.run()
	if err != nil {
		return err
	}
	text := result.text()
	fmt.Print(text)
	if out == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(out), 0o755); err != nil {
		return fmt.Errorf("create report directory: %w", err)
	}
	data, err := result.json()
	if err != nil {
		return err
	}
	for extension, content := range map[string][]byte{".txt": []byte(text), ".json": data} {
		if err := os.WriteFile(out+extension, content, 0o644); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}
