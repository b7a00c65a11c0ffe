package edgecontrol

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// storeWrite is one write to the store of a simulation.
type storeWrite struct {
	at      time.Duration
	config  core.Revision // new configuration; zero if the write is another one
	evacuee core.DataCentreID
	out     bool // the data centre is evacuated, or the target removed
	target  core.Registration
}

// simulatedStore is the history of a store. The revision of a write is its index plus one.
type simulatedStore []storeWrite

// tables returns the state of both tables as of a revision, and the last revisions that changed them.
func (s simulatedStore) tables(revision uint64) (config core.Revision, evacuated map[core.DataCentreID]bool, targets map[core.TargetID]core.Registration) {
	evacuated, targets = map[core.DataCentreID]bool{}, map[core.TargetID]core.Registration{}
	for _, write := range s[:revision] {
		switch {
		case write.config > 0:
			config = write.config
		case write.evacuee != "" && write.out:
			evacuated[write.evacuee] = true
		case write.evacuee != "":
			delete(evacuated, write.evacuee)
		case write.out:
			delete(targets, write.target.Target)
		default:
			targets[write.target.Target] = write.target
		}
	}
	return config, evacuated, targets
}

// lastChange returns the revision of the last write up to a time that changed the operator's table, or
// the registry.
func (s simulatedStore) lastChange(until time.Duration, operator bool) uint64 {
	last := uint64(0)
	for i, write := range s {
		if write.at <= until && operator == (write.config > 0 || write.evacuee != "") {
			last = uint64(i + 1)
		}
	}
	return last
}

// tickEvent is the time-driven work as an event.
type tickEvent struct{}

func (tickEvent) apply(s *state) { s.tick() }

// simulatedHost is a host of a simulation, with the reads that are on their way to it.
type simulatedHost struct {
	*state
	reads        [2][]Update // of the operator's table and of the registry
	readRevision [2]uint64   // changes after it have not been read
	readEra      [2]uint64   // of the store, in which readRevision counts
}

// handle applies an event and sends what follows from it, as Loop.Run does.
func (h *simulatedHost) handle(e event) {
	before := h.view
	e.apply(h.state)
	if h.registryChanged {
		h.view.Targets = h.registry.Entries()
		h.registryChanged, h.changed, h.lastRegistryDigest = false, true, 0
	}
	if h.changed {
		h.candidatesByPool = nil
		h.notifySubscribers(&before, &h.view)
		h.changed = false
	}
	if h.responsesDue {
		h.responsesDue = false
		h.respondAll()
	}
}

// send begins a read of a table: of all of it, or of its changes.
func (h *simulatedHost) send(store simulatedStore, era uint64, operator, full bool, now time.Duration) {
	i := map[bool]int{true: 0, false: 1}[operator]
	from, to := h.readRevision[i], uint64(len(store))
	full = full || from == 0 || era != h.readEra[i]
	if len(h.reads[i]) > 0 || !h.view.ReadsStore {
		return // a follower makes one call at a time
	}
	config, evacuated, targets := store.tables(to)
	update := Update{SentAt: now, CoversConfig: operator, CoversRegistry: !operator, ConfigRevision: to, RegistryRevision: to, ConfigEra: era, RegistryEra: era, FullConfig: full}
	if operator && (full || store.lastChange(now, true) > from) {
		update.Evacuated = evacuated
		if config > 0 {
			update.Config = engineConfig(config)
		}
	}
	if !operator && full {
		update.FullRegistry = true
		for _, target := range targets {
			update.Registrations = append(update.Registrations, target)
		}
	}
	for i := from; !operator && !full && i < to; i++ {
		switch write := store[i]; {
		case write.target.Target == "":
		case write.out:
			update.Removed = append(update.Removed, core.Removal{Target: write.target.Target, Revision: i + 1})
		default:
			update.Registrations = append(update.Registrations, write.target)
		}
	}
	for j := range update.Registrations {
		update.Registrations[j].Era = era
	}
	for j := range update.Removed {
		update.Removed[j].Era = era
	}
	h.reads[i], h.readRevision[i], h.readEra[i] = append(h.reads[i], update), to, era
}

// check fails if the host believes anything that was not so in the store, or takes it for more recent
// than it is.
func (h *simulatedHost) check(t *rapid.T, store simulatedStore, now time.Duration) {
	_, evacuated, _ := store.tables(h.configPosition.Revision)
	if h.view.Evacuated != nil && !maps.Equal(evacuated, h.view.Evacuated) {
		t.Fatalf("%s: evacuated %v, want %v as of %d", h.options.Self.ID, h.view.Evacuated, evacuated, h.configPosition.Revision)
	}
	_, _, targets := store.tables(h.registry.Position().Revision)
	for id, entry := range h.view.Targets {
		if entry.Revision > h.registry.Position().Revision {
			continue // newer than all else that is known
		}
		if want, ok := targets[id]; !ok || registrationChanged(want, entry.Registration) {
			t.Fatalf("%s: %+v, want %+v as of %d", h.options.Self.ID, entry.Registration, targets[id], h.registry.Position().Revision)
		}
	}
	if age, known := h.view.ConfigProof.Age(now); known {
		config, _, _ := store.tables(store.lastChange(now-age, true))
		if h.view.Table.Config.Revision < config || h.configPosition.Revision < store.lastChange(now-age, true) {
			t.Fatalf("%s: configuration %d as of %d counts as current %v ago", h.options.Self.ID, h.view.Table.Config.Revision, h.configPosition.Revision, age)
		}
	}
	if age, known := h.view.RegistryProof.Age(now); known && h.registry.Position().Revision < store.lastChange(now-age, false) {
		t.Fatalf("%s: registry as of %d counts as current %v ago", h.options.Self.ID, h.registry.Position().Revision, age)
	}
}

// simulatedHosts are the hosts of a simulation.
var simulatedHosts = []core.HostID{"h", "host", "hosts"}

// startSimulation returns hosts that are linked with each other, and the messages on their links.
func startSimulation(now *time.Duration) (map[core.HostID]*simulatedHost, map[[2]core.HostID][]message.Message) {
	hosts, ids := map[core.HostID]*simulatedHost{}, simulatedHosts
	links := map[[2]core.HostID][]message.Message{}
	var all []core.Host
	for _, id := range ids {
		all = append(all, host(string(id)))
	}
	for _, id := range ids {
		hosts[id] = &simulatedHost{state: newState(&Options{
			Self: host(string(id)), Clock: func() time.Duration { return *now }, Log: &log.Logger{Handler: discard.New()}, SetPeers: func([]core.Host) {},
			Send: func(to core.HostID, m message.Message) bool {
				links[[2]core.HostID{id, to}] = append(links[[2]core.HostID{id, to}], m)
				return true
			},
		})}
		hosts[id].handle(updateEvent{Update: Update{Hosts: all}})
		for _, other := range ids {
			if other != id {
				hosts[id].handle(linkEvent{host: other, up: true})
			}
		}
	}
	return hosts, links
}

// Hosts learn of changes from their own reads, from hubs that are behind, and over links that break, in
// any order and after any pause. None may go back, or take a state for more recent than it is.
func TestNoHostGoesBackOrTakesOldStateForCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		var store simulatedStore
		hosts, links := startSimulation(&now)
		store = append(store, storeWrite{at: now, config: 1})
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond
			h := hosts[rapid.SampledFrom(simulatedHosts).Draw(t, "host")]
			operator := rapid.Bool().Draw(t, "operator's table")
			h.handle(tickEvent{})
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				write := storeWrite{at: now, out: rapid.Bool().Draw(t, "out")}
				switch {
				case !operator:
					write.target = core.Registration{Target: core.TargetID(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "target"))), Pool: "llm", DataCentre: "a",
						Leaving: rapid.Bool().Draw(t, "leaving"), Revision: uint64(len(store) + 1)}
				case rapid.Bool().Draw(t, "evacuation"):
					write.evacuee = "a"
				default:
					write.config = core.Revision(len(store) + 1)
				}
				store = append(store, write)
			case 1, 2:
				h.send(store, 0, operator, rapid.IntRange(0, 4).Draw(t, "full") == 0, now)
			case 3, 4:
				i := map[bool]int{true: 0, false: 1}[operator]
				if len(h.reads[i]) > 0 {
					read := h.reads[i][0]
					h.reads[i] = nil
					h.handle(updateEvent{Update: read})
				}
			case 5:
				other := rapid.SampledFrom(simulatedHosts).Draw(t, "peer")
				if other == h.options.Self.ID || rapid.IntRange(0, 3).Draw(t, "breaks") > 0 {
					continue
				}
				clear(links[[2]core.HostID{h.options.Self.ID, other}])
				links[[2]core.HostID{h.options.Self.ID, other}], links[[2]core.HostID{other, h.options.Self.ID}] = nil, nil
				for _, up := range []bool{false, true} {
					h.handle(linkEvent{host: other, up: up})
					hosts[other].handle(linkEvent{host: h.options.Self.ID, up: up})
				}
			default:
				for _, from := range simulatedHosts {
					link := [2]core.HostID{from, h.options.Self.ID}
					for range min(len(links[link]), rapid.IntRange(0, 5).Draw(t, "messages")) {
						m := links[link][0]
						links[link] = links[link][1:]
						h.handle(messageEvent{from: from, message: m})
					}
				}
			}
			for _, host := range hosts {
				host.check(t, store, now)
			}
		}
	})
}

// A store that is restored from a copy shows older state under revisions that are given out again, until
// the operator has written again. No host may go back, or take what it reads for current before that,
// and all of them must take it for current afterwards.
func TestNoHostTakesACopyOfTheStoreForCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		hosts, links := startSimulation(&now)
		store, era := simulatedStore{{at: now, config: 1}}, uint64(1)
		acknowledged := []storeWrite{store[0]} // configurations in all eras
		var writeAgainAt time.Duration         // zero if the store lacks nothing
		in := map[core.HostID]core.Revision{}
		step := func(h *simulatedHost, operator bool, full bool, kind int) {
			h.handle(tickEvent{})
			i := map[bool]int{true: 0, false: 1}[operator]
			switch kind {
			case 0:
				h.send(store, era, operator, full, now)
			case 1:
				if len(h.reads[i]) > 0 {
					read := h.reads[i][0]
					h.reads[i] = nil
					h.handle(updateEvent{Update: read})
				}
			default:
				for _, from := range simulatedHosts {
					link := [2]core.HostID{from, h.options.Self.ID}
					pending := links[link]
					links[link] = nil
					for _, m := range pending {
						h.handle(messageEvent{from: from, message: m})
					}
				}
			}
		}
		pass := func(pause time.Duration) {
			now += pause
			if writeAgainAt > 0 && now >= writeAgainAt {
				newest := acknowledged[len(acknowledged)-1]
				store, writeAgainAt = append(store, storeWrite{at: now, config: newest.config}), 0
			}
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			pass(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			h := hosts[rapid.SampledFrom(simulatedHosts).Draw(t, "host")]
			switch kind := rapid.IntRange(0, 12).Draw(t, "step"); {
			case kind == 0 && writeAgainAt == 0:
				write := storeWrite{at: now, config: acknowledged[len(acknowledged)-1].config + 1}
				store, acknowledged = append(store, write), append(acknowledged, write)
			case kind == 1 && writeAgainAt == 0:
				store = store[:rapid.IntRange(1, len(store)).Draw(t, "copy"):len(store)]
				era++
				writeAgainAt = now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "written again after"))*time.Millisecond
			default:
				step(h, rapid.Bool().Draw(t, "operator's table"), rapid.IntRange(0, 4).Draw(t, "full") == 0, kind%3)
			}
			for id, host := range hosts {
				if host.view.Table == nil {
					continue
				}
				revision := host.view.Table.Config.Revision
				if revision < in[id] {
					t.Fatalf("%s: configuration %d after %d", id, revision, in[id])
				}
				in[id] = revision
				age, known := host.view.ConfigProof.Age(now)
				for _, write := range acknowledged {
					if known && write.at <= now-age && write.config > revision {
						t.Fatalf("%s: configuration %d counts as current %v ago, %d was acknowledged %v ago", id, revision, age, write.config, now-write.at)
					}
				}
			}
		}
		for range 200 {
			pass(30 * time.Millisecond)
			for _, id := range simulatedHosts {
				for kind := range 3 {
					step(hosts[id], true, false, kind)
					step(hosts[id], false, false, kind)
				}
			}
		}
		for id, host := range hosts {
			if age, known := host.view.ConfigProof.Age(now); !known || age > 2*time.Second {
				t.Fatalf("%s does not take its configuration for current: %v %v", id, known, age)
			}
		}
	})
}
