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
	// entryFields is the number of fields of an entry.
	entryFields = 5
	// fieldSeen is the place of the field that says what was seen.
	fieldSeen = 3
)

// readEntries reads the list. It returns a formatError for a line with missing fields.
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
		if len(fields) != entryFields {
			return nil, &formatError{path: path, line: number}
		}
		entries = append(entries, entry{pkg: fields[0], test: fields[1], line: line})
	}
	return entries, lines.Err()
}

// matches reports whether the entry names the test, by its own name or its parent's.
func (e entry) matches(key testKey) bool {
	if !strings.HasSuffix(key.pkg, "/"+e.pkg) {
		return false
	}
	return key.test == e.test || strings.HasPrefix(key.test, e.test+"/")
}
