package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
)

// rapidImport is the import path of the property-based testing library, whose seed flag
// only test binaries that use it accept.
const rapidImport = "pgregory.net/rapid"

// alonePackage is the end of the import path of a package whose tests run apart from others: they measure the memory
// of processes under a crowd of connections.
const alonePackage = "/platform/hostile"

// runTests runs the tests of all packages. Packages with property-based tests get the seed.
func runTests(seed uint64) (*summary, error) {
	plain, seeded, alone, err := splitPackages()
	if err != nil {
		return nil, err
	}
	result := newSummary()
	if err := runPackages(result, plain); err != nil {
		return nil, err
	}
	if err := runPackages(result, seeded, fmt.Sprintf("-rapid.seed=%d", seed)); err != nil {
		return nil, err
	}
	return result, runPackages(result, alone)
}

// splitPackages lists the packages without and with property-based tests, and those whose tests run alone.
func splitPackages() (plain, seeded, alone []string, err error) {
	format := `{{.ImportPath}} {{range .TestImports}}{{.}} {{end}}{{range .XTestImports}}{{.}} {{end}}`
	output, err := exec.Command("go", "list", "-f", format, "./...").Output()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("list packages: %w", err)
	}
	for line := range strings.Lines(string(output)) {
		fields := strings.Fields(line)
		switch {
		case strings.HasSuffix(fields[0], alonePackage):
			alone = append(alone, fields[0])
		case strings.Contains(line, " "+rapidImport+" "):
			seeded = append(seeded, fields[0])
		default:
			plain = append(plain, fields[0])
		}
	}
	return plain, seeded, alone, nil
}

// runPackages runs the packages' tests and adds their events to the summary. It returns no
// error for failed tests.
func runPackages(result *summary, packages []string, flags ...string) error {
	if len(packages) == 0 {
		return nil
	}
	args := append([]string{"test", "-json", "-count=1"}, packages...)
	command := exec.Command("go", append(args, flags...)...)
	command.Stderr = os.Stderr
	output, err := command.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return fmt.Errorf("run go test: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(output))
	for decoder.More() {
		var event testEvent
		if err := decoder.Decode(&event); err != nil {
			return fmt.Errorf("read go test output: %w", err)
		}
		result.add(event)
	}
	return nil
}
