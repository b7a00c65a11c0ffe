package pool

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// recoveryTime is the time after the last fault within which all capacity is free again:
// the longest stream ends, its ticket expires, and a report shows it.
const recoveryTime = simMaxStreamTime + startWindow + settleMargin + 12*time.Second

func (sim *simulation) host() core.HostID {
	return core.HostID(rapid.SampledFrom([]string{"h0", "h1", "h2"}).Draw(sim.t, "host"))
}

func (sim *simulation) anyEngine() *fakeEngine {
	return sim.engines[rapid.IntRange(0, simTargets-1).Draw(sim.t, "engine")]
}

func (sim *simulation) request() {
	sim.next++
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[8:], sim.next)
	team := core.TeamID(rapid.SampledFrom([]string{"a", "b"}).Draw(sim.t, "team"))
	request := core.TicketRequest{Generation: id, EntryHost: sim.host(), Team: team, PromptTokens: 10, QueueBudget: simQueueBudget}
	sim.sentAt[id] = sim.now
	sim.owner[id] = sim.owners
	sim.apply(sim.pool.RequestTicket(request, sim.now))
	if sim.chance(10, "request twice") {
		sim.after(sim.delay(8*time.Second, "repeat"), func() {
			if sim.owner[id] == sim.owners {
				sim.apply(sim.pool.RequestTicket(request, sim.now))
			}
		})
	}
	if sim.chance(10, "withdraw") {
		sim.after(sim.delay(3*time.Second, "leave"), func() {
			sim.withdrawn[id] = true
			sim.apply(sim.pool.WithdrawRequest(id, sim.now))
		})
	}
}

// report sends a load report whose content is already old and which later reports may
// overtake.
func (sim *simulation) report(engine *fakeEngine) {
	report := core.LoadReport{Target: engine.id, Incarnation: engine.incarnation(), ListsStreams: true, MemoryTotal: 100_000}
	for id, stream := range engine.running {
		report.Streams = append(report.Streams, core.StreamLoad{Generation: id, Context: stream.prompt})
	}
	lag := sim.delay(3*time.Second, "lag")
	way := sim.delay(simMaxTransit, "report transit")
	sim.after(lag+way, func() {
		report.Age = lag
		sim.apply(sim.pool.ApplyReport(report, sim.now))
	})
}

func (sim *simulation) killHost() {
	host := sim.host()
	sim.dead[host]++
	for _, engine := range sim.engines {
		for _, stream := range engine.running {
			if stream.entry == host && stream.endsAt.After(sim.now.Add(simLinger)) {
				stream.endsAt = sim.now.Add(simLinger)
			}
		}
	}
	sim.after(sim.delay(5*time.Second, "news"), func() { sim.apply(sim.pool.HandleHostLost(host, sim.now)) })
}

func (sim *simulation) restartEngine() {
	engine := sim.anyEngine()
	engine.starts++
	engine.completions = 0
	clear(engine.running)
}

func (sim *simulation) step() {
	switch rapid.IntRange(0, 59).Draw(sim.t, "step") {
	case 0, 1:
		sim.killHost()
	case 2, 3:
		sim.restartEngine()
	case 4:
		sim.pool.SetFrozen(rapid.Bool().Draw(sim.t, "frozen"))
	case 5:
		sim.takeOver()
	case 6:
		sim.apply(sim.pool.MarkUnreachable(sim.anyEngine().id, sim.now))
	}
	for range rapid.IntRange(0, 5).Draw(sim.t, "burst") {
		sim.request()
	}
	for _, engine := range sim.engines {
		if !sim.chance(20, "poll lost") {
			sim.report(engine)
		}
	}
	sim.advance(sim.delay(900*time.Millisecond, "pass"))
}

// settle ends all faults and polls the engines once a second.
func (sim *simulation) settle(span time.Duration) {
	sim.faulty = false
	for end := sim.now.Add(span); sim.now.Before(end); {
		for _, engine := range sim.engines {
			sim.report(engine)
		}
		sim.advance(time.Second)
	}
}

func TestTargetsAreNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(40, 80).Draw(t, "steps") {
			sim.step()
		}
		sim.settle(recoveryTime)
		sim.requireAnswered()
		sim.requireAllFree()
	})
}

// requireAnswered checks that no request got more than one answer, and that each request
// to the present owner got one unless its caller left.
func (sim *simulation) requireAnswered() {
	for id, owner := range sim.owner {
		require.LessOrEqual(sim.t, sim.answers[id], 1)
		if owner == sim.owners && !sim.withdrawn[id] {
			require.Equal(sim.t, 1, sim.answers[id], "answers to %s", id)
		}
	}
}

// requireAllFree checks that no capacity leaks: when nothing runs, all streams that the
// limits allow are free.
func (sim *simulation) requireAllFree() {
	limits := 0
	for _, view := range sim.pool.Views() {
		require.Zero(sim.t, view.Running, "in use on %s", view.Target)
		limits += view.Limit
	}
	require.Equal(sim.t, limits, sim.pool.Capacity().FreeStreams)
}
