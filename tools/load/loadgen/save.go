package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Save writes report.txt, report.json and report.svg to a directory, which it creates if
// necessary.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	writers := map[string]func(io.Writer) error{
		"report.txt":  r.WriteText,
		"report.svg":  r.WriteSVG,
		"report.json": func(w io.Writer) error { return json.NewEncoder(w).Encode(r) },
	}
	for name, write := range writers {
		if err := writeFile(filepath.Join(dir, name), write); err != nil {
			return err
		}
	}
	return nil
}

// writeFile creates a file and writes its content.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create: %w", err)
	}
	if err := write(file); err != nil {
		_ = file.Close() // the write error is returned instead
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}
