package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"siskintide.example/siskintide/tools/load/loadgen"
)

// writeReport writes the report as text, JSON and a plot to files that start with the path,
// and prints the text.
func (d drill) writeReport(path string, report *loadgen.Report, notes []string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("create report directory: %w", err)
	}
	var text, plot strings.Builder
	fmt.Fprintf(&text, "%s: %s\n%s\n", d.name, d.description, strings.Join(notes, "\n"))
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
	for extension, content := range map[string]string{".txt": text.String(), ".svg": plot.String(), ".json": string(data)} {
		if err := os.WriteFile(path+extension, []byte(content), 0o644); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}
