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
const recoveryTime = worldLongest + startWindow + settleMargin + 12*time.Second

func (w *world) host() core.HostID {
	return core.HostID(rapid.SampledFrom([]string{"h0", "h1", "h2"}).Draw(w.t, "host"))
}

func (w *world) anyEngine() *fakeEngine {
	return w.engines[rapid.IntRange(0, worldTargets-1).Draw(w.t, "engine")]
}

func (w *world) request() {
	w.next++
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[8:], w.next)
	team := core.TeamID(rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "team"))
	request := core.TicketRequest{Generation: id, EntryHost: w.host(), Team: team, PromptTokens: 10, QueueBudget: worldBudget}
	w.sentAt[id] = w.now
	w.owner[id] = w.owners
	w.apply(w.pool.RequestTicket(request, w.now))
	if w.chance(10, "request twice") {
		w.after(w.delay(8*time.Second, "repeat"), func() {
			if w.owner[id] == w.owners {
				w.apply(w.pool.RequestTicket(request, w.now))
			}
		})
	}
	if w.chance(10, "withdraw") {
		w.after(w.delay(3*time.Second, "leave"), func() {
			w.withdrawn[id] = true
			w.apply(w.pool.WithdrawRequest(id, w.now))
		})
	}
}

// report sends a load report whose content is already old and which later reports may
// overtake.
func (w *world) report(engine *fakeEngine) {
	report := core.LoadReport{Target: engine.id, Incarnation: engine.incarnation(), ListsStreams: true, MemoryTotal: 100_000}
	for id, stream := range engine.running {
		report.Streams = append(report.Streams, core.StreamLoad{Generation: id, Context: stream.prompt})
	}
	lag := w.delay(3*time.Second, "lag")
	way := w.delay(worldTransit, "report transit")
	w.after(lag+way, func() {
		report.Age = lag
		w.apply(w.pool.ApplyReport(report, w.now))
	})
}

func (w *world) killHost() {
	host := w.host()
	w.dead[host]++
	for _, engine := range w.engines {
		for _, stream := range engine.running {
			if stream.entry == host && stream.endsAt.After(w.now.Add(worldLinger)) {
				stream.endsAt = w.now.Add(worldLinger)
			}
		}
	}
	w.after(w.delay(5*time.Second, "news"), func() { w.apply(w.pool.HandleHostLost(host, w.now)) })
}

func (w *world) restartEngine() {
	engine := w.anyEngine()
	engine.starts++
	engine.completions = 0
	clear(engine.running)
}

func (w *world) step() {
	switch rapid.IntRange(0, 59).Draw(w.t, "step") {
	case 0, 1:
		w.killHost()
	case 2, 3:
		w.restartEngine()
	case 4:
		w.pool.SetFrozen(rapid.Bool().Draw(w.t, "frozen"))
	case 5:
		w.takeOver()
	case 6:
		w.apply(w.pool.MarkUnreachable(w.anyEngine().id, w.now))
	}
	for range rapid.IntRange(0, 5).Draw(w.t, "burst") {
		w.request()
	}
	for _, engine := range w.engines {
		if !w.chance(20, "poll lost") {
			w.report(engine)
		}
	}
	w.advance(w.delay(900*time.Millisecond, "pass"))
}

// settle ends all faults and polls the engines once a second.
func (w *world) settle(span time.Duration) {
	w.faulty = false
	for end := w.now.Add(span); w.now.Before(end); {
		for _, engine := range w.engines {
			w.report(engine)
		}
		w.advance(time.Second)
	}
}

func TestTargetsAreNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(40, 80).Draw(t, "steps") {
			w.step()
		}
		w.settle(recoveryTime)
		w.requireAnswered()
		w.requireAllFree()
	})
}

// requireAnswered checks that no request got more than one answer, and that each request
// to the present owner got one unless its caller left.
func (w *world) requireAnswered() {
	for id, owner := range w.owner {
		require.LessOrEqual(w.t, w.answers[id], 1)
		if owner == w.owners && !w.withdrawn[id] {
			require.Equal(w.t, 1, w.answers[id], "answers to %s", id)
		}
	}
}

// requireAllFree checks that no capacity leaks: when nothing runs, all streams that the
// limits allow are free.
func (w *world) requireAllFree() {
	limits := 0
	for _, view := range w.pool.Views() {
		require.Zero(w.t, view.Running, "in use on %s", view.Target)
		limits += view.Limit
	}
	require.Equal(w.t, limits, w.pool.Summary().FreeStreams)
}
