package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	options := options{Daemon: "bin/siskintided", Seed: 1, Duration: 20 * time.Second, Hosts: 3, Engines: 6, Services: 3}
	flaggy.SetName("soak")
	flaggy.SetDescription("runs hosts as processes under faults, and checks what callers and targets see")
	flaggy.String(&options.Daemon, "d", "daemon", "program of the daemon")
	flaggy.UInt64(&options.Seed, "s", "seed", "seed of the faults; the same seed gives the same series")
	flaggy.Duration(&options.Duration, "t", "duration", "time with faults")
	flaggy.Int(&options.Hosts, "n", "hosts", "hosts at the start")
	flaggy.Int(&options.Engines, "e", "engines", "engines at the start")
	flaggy.Int(&options.Services, "w", "services", "targets of the plain service at the start")
	flaggy.String(&options.Dir, "l", "logs", "folder for settings and logs; a temporary one by default")
	flaggy.Parse()
	world, err := newWorld(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	os.Exit(world.run())
}
