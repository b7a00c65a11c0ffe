// Command knownred runs all tests with a fixed seed and fails when a test fails that is
// not listed in KNOWN-RED.txt, or when a listed test passes and its entry is stale.
package main

import (
	"flag"
	"fmt"
	"os"
)

const listPath = "KNOWN-RED.txt"

func main() {
	seed := flag.Uint64("seed", 1, "seed of property-based tests")
	flag.Parse()
	entries, err := readEntries(listPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	summary, err := runTests(*seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	os.Exit(report(summary, entries))
}
