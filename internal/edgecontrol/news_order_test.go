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
func (h *simulatedHost) send(store simulatedStore, operator, full bool, now time.Duration) {
	i := map[bool]int{true: 0, false: 1}[operator]
	from, to := h.readRevision[i], uint64(len(store))
	full = full || from == 0
	if len(h.reads[i]) > 0 || !h.view.ReadsStore {
		return // a follower makes one call at a time
	}
	config, evacuated, targets := store.tables(to)
	update := Update{SentAt: now, CoversConfig: operator, CoversRegistry: !operator, ConfigRevision: to, RegistryRevision: to}
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
	h.reads[i], h.readRevision[i] = append(h.reads[i], update), to
}

// check fails if the host believes anything that was not so in the store, or takes it for more recent
// than it is.
func (h *simulatedHost) check(t *rapid.T, store simulatedStore, now time.Duration) {
	_, evacuated, _ := store.tables(h.configRevision)
	if h.view.Evacuated != nil && !maps.Equal(evacuated, h.view.Evacuated) {
		t.Fatalf("%s: evacuated %v, want %v as of %d", h.options.Self.ID, h.view.Evacuated, evacuated, h.configRevision)
	}
	_, _, targets := store.tables(h.registry.Revision())
	for id, entry := range h.view.Targets {
		if entry.Revision > h.registry.Revision() {
			continue // newer than all else that is known
		}
		if want, ok := targets[id]; !ok || registrationChanged(want, entry.Registration) {
			t.Fatalf("%s: %+v, want %+v as of %d", h.options.Self.ID, entry.Registration, targets[id], h.registry.Revision())
		}
	}
	if age, known := h.view.ConfigProof.Age(now); known {
		config, _, _ := store.tables(store.lastChange(now-age, true))
		if h.view.Table.Config.Revision < config || h.configRevision < store.lastChange(now-age, true) {
			t.Fatalf("%s: configuration %d as of %d counts as current %v ago", h.options.Self.ID, h.view.Table.Config.Revision, h.configRevision, age)
		}
	}
	if age, known := h.view.RegistryProof.Age(now); known && h.registry.Revision() < store.lastChange(now-age, false) {
		t.Fatalf("%s: registry as of %d counts as current %v ago", h.options.Self.ID, h.registry.Revision(), age)
	}
}

// Hosts learn of changes from their own reads, from hubs that are behind, and over links that break, in
// any order and after any pause. None may go back, or take a state for more recent than it is.
func TestNoHostGoesBackOrTakesOldStateForCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		var store simulatedStore
		hosts, ids := map[core.HostID]*simulatedHost{}, []core.HostID{"h", "host", "hosts"}
		links := map[[2]core.HostID][]message.Message{}
		var all []core.Host
		for _, id := range ids {
			all = append(all, host(string(id)))
		}
		for _, id := range ids {
			hosts[id] = &simulatedHost{state: newState(&Options{
				Self: host(string(id)), Clock: func() time.Duration { return now }, Log: &log.Logger{Handler: discard.New()}, SetPeers: func([]core.Host) {},
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
		store = append(store, storeWrite{at: now, config: 1})
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond
			h := hosts[rapid.SampledFrom(ids).Draw(t, "host")]
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
				h.send(store, operator, rapid.IntRange(0, 4).Draw(t, "full") == 0, now)
			case 3, 4:
				i := map[bool]int{true: 0, false: 1}[operator]
				if len(h.reads[i]) > 0 {
					read := h.reads[i][0]
					h.reads[i] = nil
					h.handle(updateEvent{Update: read})
				}
			case 5:
				other := rapid.SampledFrom(ids).Draw(t, "peer")
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
				for _, from := range ids {
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
