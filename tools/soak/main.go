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
	flaggy.SetDescription("runs hosts as processes, injects faults and checks what callers and targets observe")
	flaggy.String(&options.Daemon, "d", "daemon", "path of the daemon's binary")
	flaggy.UInt64(&options.Seed, "s", "seed", "seed of the faults; the same seed gives the same sequence")
	flaggy.Duration(&options.Duration, "t", "duration", "duration of the fault injection")
	flaggy.Int(&options.Hosts, "n", "hosts", "number of hosts")
	flaggy.Int(&options.Engines, "e", "engines", "number of engines")
	flaggy.Int(&options.Services, "w", "services", "number of targets of the plain service")
	flaggy.String(&options.Dir, "l", "logs", "folder for settings and logs; a temporary one by default")
	flaggy.Parse()
	s, err := newSoak(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	os.Exit(s.run())
}
