package main

import (
	"syscall"
	"time"

	"siskintide.example/siskintide/tools/cluster"
	"siskintide.example/siskintide/tools/load/loadgen"
)

const (
	// drillSeed is the seed of the load, the same for all drills.
	drillSeed = 20261204
	// drainTimeout is how long requests may run on after the last one was started.
	drainTimeout = 60 * time.Second
)

// drills lists all drills.
func drills() []drill {
	return []drill{
		dataCentreMove(),
		coldRestart("cold-restart-guarded", 2),
		coldRestart("cold-restart-unguarded", 24),
		platformOutage(),
		ownerKilled(),
		hostFrozen(),
		dataCentreCut(),
	}
}

// openLoopLoad returns an open-loop load with the given mean rate of requests a second.
func openLoopLoad(rate float64, duration time.Duration) loadgen.Options {
	return loadgen.Options{Rate: rate, Duration: duration, DrainTimeout: drainTimeout, MaxTokens: 1500, PromptBytes: 600, MaxResumes: 8, Seed: drillSeed}
}

// threeDataCentres returns the layout of three data centres with nine hosts and twelve
// engines in all.
func threeDataCentres() cluster.Layout {
	return cluster.Layout{
		DataCentres: []string{"oslo-a", "oslo-b", "oslo-c"},
		Hosts:       3,
		Engines:     4,
		EngineKind:  cluster.DefaultEngineKind(),
		Timing:      cluster.ProductionTiming(),
	}
}

// dataCentreMove takes a data centre out of service under load and returns it to service.
func dataCentreMove() drill {
	return drill{
		name:        "data-centre-move",
		description: "9 hosts, 12 engines in 3 data centres; oslo-b is taken out and returned under load",
		layout:      threeDataCentres(),
		load:        openLoopLoad(12, 90*time.Second),
		events: []event{
			{30 * time.Second, "take oslo-b out", operatorCommand("take-out", "oslo-b", "--accept-overload")},
			{55 * time.Second, "return oslo-b", operatorCommand("return", "oslo-b")},
		},
	}
}

// coldRestart restarts an engine under full load. The engines crash when they are overloaded
// while cold. The declared limit of a cold engine protects the restarted one; if it is declared
// as high as the warm limit, there is no protection.
func coldRestart(name string, declaredColdStreams int) drill {
	layout := cluster.Layout{
		DataCentres: []string{"oslo-a"},
		Hosts:       9,
		Engines:     3,
		EngineKind:  cluster.DefaultEngineKind(),
		Timing:      cluster.ProductionTiming(),
		EngineFlags: []string{"--cold-streams", "2", "--warm-streams", "24", "--cold-crash", "2s", "--warm-after", "4s"},
	}
	layout.EngineKind.ColdStreams = declaredColdStreams
	layout.EngineKind.WarmStreams = 24
	return drill{
		name:        name,
		description: "9 hosts, 3 engines that bear 2 streams cold and 24 warm and crash when overloaded cold for 2 s; one is restarted under full load",
		layout:      layout,
		load:        loadgen.Options{Concurrency: 90, Duration: 60 * time.Second, DrainTimeout: drainTimeout, MaxTokens: 400, PromptBytes: 600, MaxResumes: 8, Seed: drillSeed},
		events: []event{
			{30 * time.Second, "restart an engine", engineFault("manus-oslo-a-1", `{"kind":"kill","for_ms":1000}`)},
		},
	}
}

// platformOutage makes the platform unavailable for longer than a lease.
func platformOutage() drill {
	return drill{
		name:        "platform-outage",
		description: "9 hosts, 12 engines in 3 data centres; the platform is down for 40 s, four times a lease",
		layout:      threeDataCentres(),
		load:        openLoopLoad(12, 80*time.Second),
		events: []event{
			{15 * time.Second, "platform down", platformFault(`{"kind":"down"}`)},
			{55 * time.Second, "platform back", platformFault(`{"kind":"clear"}`)},
		},
	}
}

// ownerKilled kills the host that owns an engine. The engine's streams, and the streams of
// the callers of that host, are expected to continue.
func ownerKilled() drill {
	return drill{
		name:        "owner-killed",
		description: "9 hosts, 12 engines in 3 data centres; the host that owns an engine is killed",
		layout:      threeDataCentres(),
		load:        openLoopLoad(12, 60*time.Second),
		events:      []event{{20 * time.Second, "kill the owner of manus-oslo-a-1", killOwner("manus-oslo-a-1")}},
	}
}

// hostFrozen stops a host's process with SIGSTOP for longer than a lease and continues it.
func hostFrozen() drill {
	return drill{
		name:        "host-frozen",
		description: "9 hosts, 12 engines in 3 data centres; a host is frozen for 20 s, two leases, and wakes",
		layout:      threeDataCentres(),
		load:        openLoopLoad(12, 70*time.Second),
		events: []event{
			{20 * time.Second, "freeze oslo-a-1", signalHost("oslo-a-1", syscall.SIGSTOP)},
			{40 * time.Second, "wake oslo-a-1", signalHost("oslo-a-1", syscall.SIGCONT)},
		},
	}
}

// dataCentreCut disconnects the hosts of one data centre from the platform for longer than a
// lease, but not from their peers, and takes the data centre out of service in that time.
func dataCentreCut() drill {
	return drill{
		name:        "data-centre-cut",
		description: "9 hosts, 12 engines in 3 data centres; oslo-b's hosts are cut off from the platform for 25 s, not from peers, and oslo-b is taken out meanwhile",
		layout:      threeDataCentres(),
		load:        openLoopLoad(12, 45*time.Second),
		events: []event{
			{5 * time.Second, "cut oslo-b off from the platform", platformFault(`{"kind":"cut","callers":["oslo-b-1","oslo-b-2","oslo-b-3"]}`)},
			{20 * time.Second, "take oslo-b out", operatorCommand("take-out", "oslo-b", "--accept-overload")},
			{30 * time.Second, "heal the cut", platformFault(`{"kind":"clear"}`)},
		},
	}
}
