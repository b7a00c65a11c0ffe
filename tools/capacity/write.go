package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// writeReport writes the report as JSON, text and a plot to files that start with the path.
func writeReport(path string, r report) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	for extension, content := range map[string][]byte{
		".json": data,
		".txt":  []byte(reportText(r)),
		".svg":  []byte(plotSVG(r.Points)),
	} {
		if err := os.WriteFile(path+extension, content, 0o644); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

// reportText returns the report as text for people.
func reportText(r report) string {
	var b strings.Builder
	for _, p := range r.Points {
		fmt.Fprintln(&b, p)
	}
	for _, s := range r.Slopes {
		fmt.Fprintf(&b, "%s against %s: %.4g + %.4g for each\n", s.Quantity, s.Sweep, s.Base, s.PerUnit)
	}
	return b.String()
}
