package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(*session) error{
	"call-cut":    playCallCut,
	"stream-cut":  playStreamCut,
	"lost-answer": playLostAnswer,
	"deadly":      playDeadly,
	"hold":        playHold,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2:]))
	}
	flags := flag.NewFlagSet("harness2", flag.ExitOnError)
	name := flags.String("case", "", "name of the case")
	daemon := flags.String("daemon", "target/siskintided", "program of the daemon")
	record := flags.String("record", "record.txt", "file for the record")
	_ = flags.Parse(os.Args[1:])
	play, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitCannotRun)
	}
	s, err := newSession(*daemon, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	s.stopEarly()
	err = play(s)
	os.Exit(s.end(err))
}
