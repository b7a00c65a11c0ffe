package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*record, bool) error{}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		return exitFailed
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	err = cases[args[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.note("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.note("%v", err)
		return exitBroken
	default:
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
}
