package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// entry is one line of KNOWN-RED.txt.
type entry struct {
	pkg  string // path below the module's root, such as internal/relay
	test string
	line string
}

const (
	// fieldCount is the number of fields of an entry.
	fieldCount = 5
	// descriptionField is the index of the field that describes the failure.
	descriptionField = 3
)

// readEntries reads the list. It returns a formatError for a line with a wrong number of
// fields.
func readEntries(path string) ([]entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open list of known failures: %w", err)
	}
	defer file.Close()
	var entries []entry
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, " | ")
		if len(fields) != fieldCount {
			return nil, &formatError{path: path, line: number}
		}
		entries = append(entries, entry{pkg: fields[0], test: fields[1], line: line})
	}
	return entries, lines.Err()
}

// matches reports whether the entry names the test or one of its parents.
func (e entry) matches(key testKey) bool {
	if !strings.HasSuffix(key.pkg, "/"+e.pkg) {
		return false
	}
	return key.test == e.test || strings.HasPrefix(key.test, e.test+"/")
}
