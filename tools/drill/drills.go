package main

import (
	"syscall"
	"time"

	"siskintide.example/siskintide/tools/cluster"
	"siskintide.example/siskintide/tools/load/loadgen"
)

const (
	// drillSeed makes the requests of all drills the same.
	drillSeed = 20261204
	// drainTime lets running requests end after the load.
	drainTime = 60 * time.Second
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

// openLoad returns a load with a fixed rate of requests.
func openLoad(rate float64, duration time.Duration) loadgen.Options {
	return loadgen.Options{Rate: rate, Duration: duration, DrainTimeout: drainTime, MaxTokens: 1500, PromptBytes: 600, MaxResumes: 8, Seed: drillSeed}
}

// stemmebu is a deployment of three data centres with nine hosts and twelve engines.
func stemmebu() cluster.Layout {
	return cluster.Layout{
		DataCentres: []string{"oslo-a", "oslo-b", "oslo-c"},
		Hosts:       3,
		Engines:     4,
		EngineKind:  cluster.DefaultEngineKind(),
		Timing:      cluster.ProductionTiming(),
	}
}

// dataCentreMove takes a data centre out under load and returns it.
func dataCentreMove() drill {
	return drill{
		name:   "data-centre-move",
		about:  "9 hosts, 12 engines in 3 data centres; oslo-b is taken out and returned under load",
		layout: stemmebu(),
		load:   openLoad(12, 90*time.Second),
		events: []event{
			{30 * time.Second, "take oslo-b out", operate("take-out", "oslo-b", "--accept-overload")},
			{55 * time.Second, "return oslo-b", operate("return", "oslo-b")},
		},
	}
}

// coldRestart restarts an engine that falls over when it is overloaded cold, under full
// load. The declared cold floor is the guard; declared as high as the warm bound, there
// is none.
func coldRestart(name string, declaredCold int) drill {
	layout := cluster.Layout{
		DataCentres: []string{"oslo-a"},
		Hosts:       9,
		Engines:     3,
		EngineKind:  cluster.DefaultEngineKind(),
		Timing:      cluster.ProductionTiming(),
		EngineFlags: []string{"--cold-streams", "2", "--warm-streams", "24", "--cold-crash", "2s", "--warm-after", "4s"},
	}
	layout.EngineKind.ColdStreams = declaredCold
	layout.EngineKind.WarmStreams = 24
	return drill{
		name:   name,
		about:  "9 hosts, 3 engines that bear 2 streams cold and 24 warm and crash when overloaded cold for 2 s; one is restarted under full load",
		layout: layout,
		load:   loadgen.Options{Concurrency: 90, Duration: 60 * time.Second, DrainTimeout: drainTime, MaxTokens: 400, PromptBytes: 600, MaxResumes: 8, Seed: drillSeed},
		events: []event{
			{30 * time.Second, "restart an engine", engineFault("manus-oslo-a-1", `{"kind":"kill","for_ms":1000}`)},
		},
	}
}

// platformOutage takes the platform away for longer than a lease.
func platformOutage() drill {
	return drill{
		name:   "platform-outage",
		about:  "9 hosts, 12 engines in 3 data centres; the platform is down for 40 s, four times a lease",
		layout: stemmebu(),
		load:   openLoad(12, 80*time.Second),
		events: []event{
			{15 * time.Second, "platform down", platformFault(`{"kind":"down"}`)},
			{55 * time.Second, "platform back", platformFault(`{"kind":"clear"}`)},
		},
	}
}

// ownerKilled kills the owner of an engine; its streams and its callers' streams go on.
func ownerKilled() drill {
	return drill{
		name:   "owner-killed",
		about:  "9 hosts, 12 engines in 3 data centres; the host that owns an engine is killed",
		layout: stemmebu(),
		load:   openLoad(12, 60*time.Second),
		events: []event{{20 * time.Second, "kill the owner of manus-oslo-a-1", killOwner("manus-oslo-a-1")}},
	}
}

// hostFrozen freezes a host for longer than a lease and wakes it.
func hostFrozen() drill {
	return drill{
		name:   "host-frozen",
		about:  "9 hosts, 12 engines in 3 data centres; a host is frozen for 20 s, two leases, and wakes",
		layout: stemmebu(),
		load:   openLoad(12, 70*time.Second),
		events: []event{
			{20 * time.Second, "freeze oslo-a-1", signal("oslo-a-1", syscall.SIGSTOP)},
			{40 * time.Second, "wake oslo-a-1", signal("oslo-a-1", syscall.SIGCONT)},
		},
	}
}

// dataCentreCut cuts the hosts of one data centre off from the platform for longer than a
// lease, while their links to peers hold, and takes it out meanwhile.
func dataCentreCut() drill {
	return drill{
		name:   "data-centre-cut",
		about:  "9 hosts, 12 engines in 3 data centres; oslo-b's hosts are cut off from the platform for 25 s, not from peers, and oslo-b is taken out meanwhile",
		layout: stemmebu(),
		load:   openLoad(12, 45*time.Second),
		events: []event{
			{5 * time.Second, "cut oslo-b off from the platform", platformFault(`{"kind":"cut","callers":["oslo-b-1","oslo-b-2","oslo-b-3"]}`)},
			{20 * time.Second, "take oslo-b out", operate("take-out", "oslo-b", "--accept-overload")},
			{30 * time.Second, "heal the cut", platformFault(`{"kind":"clear"}`)},
		},
	}
}
