package ratelimit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// stream is one team's requests of a priority.
type stream struct {
	team     core.TeamID
	priority core.Priority
	perS     float64
	obeys    bool // comes back when it is told, otherwise at once and up to five times
}

// tally counts what became of a stream's requests.
type tally struct {
	requests, served, returned, servedOnReturn, late int
}

// call is one arrival of a request.
type call struct {
	at       time.Duration
	stream   int
	content  uint64
	tries    int
	deadline time.Duration
}

type callHeap []call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(call)) }
func (h *callHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	testWait     = 75 * time.Millisecond
	testDeadline = 3 * time.Second
	testDuration = 60 * time.Second
)

// play sends the streams' requests through a gate whose targets take rate requests a second.
func play(rate float64, streams []stream) []tally {
	random, permits, gate := rand.New(rand.NewPCG(7, 7)), NewPermits(0), NewGate()
	tallies := make([]tally, len(streams))
	var calls callHeap
	content := uint64(0)
	for i, s := range streams {
		for t := 0.0; t < testDuration.Seconds(); t += random.ExpFloat64() / s.perS {
			content++
			heap.Push(&calls, call{at: at(t), stream: i, content: content, deadline: at(t) + testDeadline})
			tallies[i].requests++
		}
	}
	share := Rate{Total: rate, Share: 1}
	supplyAt := func(now time.Duration) Supply {
		return Supply{Available: permits.Available(now, share), Rate: rate, NextIn: permits.UntilNext(now, share)}
	}
	waiting, id := map[uint64]call{}, uint64(0)
	serve := func(c call, now time.Duration) {
		permits.Take(now, share)
		s, got := streams[c.stream], &tallies[c.stream]
		gate.Record(s.team, s.priority, now)
		got.served++
		if c.tries > 0 {
			got.servedOnReturn++
		}
		if now-c.at > testWait+promiseTTL {
			got.late++
		}
	}
	reject := func(rejections []Rejection, now time.Duration) {
		for _, r := range rejections {
			c := waiting[r.ID]
			delete(waiting, r.ID)
			obeys := streams[c.stream].obeys
			if obeys && (c.tries > 0 || r.RetryAfter > (c.deadline-now)/3) || c.tries >= 5 {
				continue
			}
			delay := r.RetryAfter
			if !obeys {
				delay = 10 * time.Millisecond
			}
			tallies[c.stream].returned++
			heap.Push(&calls, call{at: now + delay + 3*time.Millisecond, stream: c.stream, content: c.content, tries: c.tries + 1, deadline: c.deadline})
		}
	}
	for now := time.Duration(0); now < testDuration+testDeadline; now += time.Millisecond {
		for len(calls) > 0 && calls[0].at <= now {
			c := heap.Pop(&calls).(call)
			s := streams[c.stream]
			id++
			promised := gate.Redeem(s.team, c.content, now)
			w := Waiter{ID: id, Content: c.content, Team: s.team, Priority: s.priority, MaxWait: testWait, TimeLeft: c.deadline - now}
			waiting[id] = c
			verdict, rejections := gate.Arrive(w, promised, supplyAt(now), now)
			if verdict == Admitted {
				delete(waiting, id)
				serve(c, now)
			}
			reject(rejections, now)
		}
		for {
			next, ok := gate.Next(supplyAt(now), now)
			if !ok {
				break
			}
			c := waiting[next.ID]
			delete(waiting, next.ID)
			serve(c, now)
		}
		reject(gate.Expire(supplyAt(now), now), now)
	}
	return tallies
}

func (t tally) share() float64 { return float64(t.served) / float64(t.requests) }

// Requests within the limit must not be turned away, and more of them must not cost permits.
func TestGateUsesThePermits(t *testing.T) {
	calm := play(20, []stream{{"a", 1, 6, true}, {"b", 1, 6, true}})
	for _, got := range calm {
		require.GreaterOrEqual(t, got.share(), 0.99)
	}
	crowded := play(20, []stream{{"a", 1, 30, true}, {"b", 1, 30, true}})
	served := crowded[0].served + crowded[1].served
	require.InDelta(t, 20*testDuration.Seconds(), served, 0.1*20*testDuration.Seconds())
}

// A caller that comes back when it was told must be served: to tell it a time that is not kept costs
// it its deadline.
func TestCallersThatComeBackAsToldAreServed(t *testing.T) {
	for _, got := range play(20, []stream{{"a", 1, 20, true}, {"b", 1, 20, true}, {"c", 2, 20, true}}) {
		require.Positive(t, got.returned)
		require.GreaterOrEqual(t, float64(got.servedOnReturn), 0.95*float64(got.returned))
		require.Zero(t, got.late)
	}
}

// While there are too few permits the more urgent requests get most of them, and the others some.
func TestUrgentRequestsComeFirst(t *testing.T) {
	got := play(20, []stream{{"a", 0, 16, true}, {"a", 1, 16, true}})
	require.GreaterOrEqual(t, got[0].share(), 0.7)
	require.Greater(t, got[0].share(), 1.5*got[1].share())
	require.GreaterOrEqual(t, got[1].share(), 0.1, "nobody starves")
}

// A team with many requests must not take the permits of one with few.
func TestLargeTeamDoesNotCrowdOutSmallOnes(t *testing.T) {
	got := play(20, []stream{{"large", 1, 80, true}, {"small", 1, 3, true}, {"tiny", 1, 1, true}})
	require.Greater(t, got[1].share(), 0.75)
	require.Greater(t, got[2].share(), 0.75)
	require.Greater(t, got[1].share(), 2*got[0].share())
}

// Callers that repeat at once and often must not be served more often than those that wait.
func TestRepeatingAtOnceDoesNotPay(t *testing.T) {
	got := play(20, []stream{{"patient", 1, 25, true}, {"hasty", 1, 25, false}})
	require.GreaterOrEqual(t, got[0].share(), got[1].share())
}

// A request that cannot be served in time must be told at once.
func TestHopelessRequestIsRejectedOnArrival(t *testing.T) {
	gate := NewGate()
	supply := Supply{Available: 0, Rate: 1, NextIn: 900 * time.Millisecond}
	verdict, rejections := gate.Arrive(Waiter{ID: 1, MaxWait: testWait, TimeLeft: 6 * time.Second}, false, supply, at(1))
	require.Equal(t, Rejected, verdict)
	require.Equal(t, []Rejection{{ID: 1, RetryAfter: 900 * time.Millisecond}}, rejections)
	require.True(t, gate.Redeem("", 0, at(1.9)))
	require.False(t, gate.Redeem("", 0, at(1.9)), "a promise holds once")
}

// Without any supply nothing may wait for ever or divide by zero.
func TestGateWithoutSupply(t *testing.T) {
	gate := NewGate()
	verdict, rejections := gate.Arrive(Waiter{ID: 1, MaxWait: testWait, TimeLeft: time.Second}, false, Supply{NextIn: maxWait}, at(1))
	require.Equal(t, Rejected, verdict)
	require.Equal(t, maxWait, rejections[0].RetryAfter)
	_, ok := gate.Next(Supply{}, at(2))
	require.False(t, ok)
}
