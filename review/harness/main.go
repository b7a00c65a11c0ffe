package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a case, so that it ends by itself within two minutes.
const maxRunTime = 110 * time.Second

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"cut-event":     cutEvent,
	"large-bodies":  largeBodies,
	"crash-spreads": crashSpreads,
	"move-budget":   moveBudget,
	"move-ends":     moveEnds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs one case and returns the exit status.
func runCase(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	defer d.close()
	timer := time.AfterFunc(maxRunTime, func() {
		d.record.add("the case did not end in time")
		d.close()
		os.Exit(exitNotRun)
	})
	defer timer.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitNotRun)
	}()
	d.record.add("case %s, trouble %v", name, trouble)
	broken, err := cases[name](d, trouble)
	if err != nil {
		d.record.add("could not run: %v", err)
		return exitNotRun
	}
	d.record.add("rule broken: %v", broken)
	if broken {
		return exitBroken
	}
	return exitHeld
}
