package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"siskintide.example/siskintide/tools/load/loadgen"
)

// write writes the report as text, JSON and plot, and prints its summary.
func (d drill) write(path string, report *loadgen.Report, notes []string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("make directory of reports: %w", err)
	}
	var text, plot strings.Builder
	fmt.Fprintf(&text, "%s: %s\n%s\n", d.name, d.about, strings.Join(notes, "\n"))
	if err := report.WriteText(&text); err != nil {
		return err
	}
	if err := report.WriteSVG(&plot); err != nil {
		return err
	}
	data, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	fmt.Println(text.String())
	for ending, content := range map[string]string{".txt": text.String(), ".svg": plot.String(), ".json": string(data)} {
		if err := os.WriteFile(path+ending, []byte(content), 0o644); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}
