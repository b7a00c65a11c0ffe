// Command knownred runs all tests with a fixed seed. It fails if a test fails that is not
// listed in KNOWN-RED.txt, or if a listed test passes although it is not marked as flaky. It
// prints all listed tests, and says which of them failed in this run.
package main

import (
	"flag"
	"fmt"
	"os"
)

const listFile = "KNOWN-RED.txt"

func main() {
	seed := flag.Uint64("seed", 1, "seed of property-based tests")
	flag.Parse()
	entries, err := readEntries(listFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	summary, err := runTests(*seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	os.Exit(printReport(os.Stdout, summary, entries))
}
