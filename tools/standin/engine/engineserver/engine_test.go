package engineserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/tools/standin/fault"
)

// driver runs an engine on a fake clock, without its goroutine.
type driver struct {
	*engine
	fake *clockwork.FakeClock
}

func newDriver(options Options) driver {
	fake := clockwork.NewFakeClock()
	options.Clock = fake
	options.Name = "e"
	options.Model = "m"
	return driver{newEngine(options.withDefaults()), fake}
}

// run advances the clock and handles every event that becomes due.
func (d driver) run(time time.Duration) {
	end := d.fake.Now().Add(time)
	for due := d.due(); !due.After(end); due = d.due() {
		d.fake.Advance(due.Sub(d.fake.Now()))
		d.runDue()
	}
	d.fake.Advance(end.Sub(d.fake.Now()))
}

// submitN starts n generations of the given length, with request ids from "0" on.
func (d driver) submitN(t require.TestingT, n, length int) []*reader {
	var readers []*reader
	for i := range n {
		c := completionRequest{Model: "m", Prompt: fmt.Sprintf("brief [[length=%d]]", length), RequestID: fmt.Sprint(i)}
		r, err := d.submit(c, "")
		require.NoError(t, err)
		readers = append(readers, r)
	}
	return readers
}

func TestStreamWithoutReaderIsCancelledAfterTheResumeWindow(t *testing.T) {
	d := newDriver(Options{})
	r := d.submitN(t, 1, 10_000)[0]
	d.run(time.Second)
	d.unsubscribe(r)
	d.run(resumeWindow - time.Second)
	again, err := d.resume("0", "e-1")
	require.NoError(t, err)
	d.run(2 * resumeWindow)
	require.Contains(t, d.streams, "0")
	d.unsubscribe(again)
	d.run(resumeWindow + sweepInterval)
	require.NotContains(t, d.streams, "0")
	require.Zero(t, d.batch.usedTokens)
}

func TestEndedStreamIsKeptForAWhile(t *testing.T) {
	d := newDriver(Options{})
	d.unsubscribe(d.submitN(t, 1, 1)[0])
	d.run(endedRetention)
	r, err := d.resume("0", "")
	require.NoError(t, err)
	require.Equal(t, update{produced: 1, ended: true, finishReason: "stop"}, <-r.subscriber.updates)
	d.run(2 * sweepInterval)
	_, err = d.resume("0", "")
	require.Equal(t, &statusError{404, "unknown_stream"}, err)
}

func TestColdEngine(t *testing.T) {
	cases := map[string]struct {
		streams     int
		before      fault.Kind // injected after the engine has decoded long enough to be warm; none means that it stays cold
		incarnation string
	}{
		"at the cold limit":           {streams: 4, incarnation: "e-1"},
		"one above the cold limit":    {streams: 5, incarnation: "e-2"},
		"warm":                        {streams: 5, before: FaultNondeterministic, incarnation: "e-1"},
		"warm and cold again":         {streams: 5, before: FaultCold, incarnation: "e-2"},
		"warm and silently cold":      {streams: 5, before: FaultColdSilent, incarnation: "e-2"},
		"killed and cold, not warmed": {streams: 5, before: FaultKill, incarnation: "e-3"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDriver(Options{ColdStreams: 4, ColdCrash: 3 * time.Second, WarmAfter: 5 * time.Second})
			if c.before != "" {
				d.submitN(t, 1, 1_000)
				d.run(6 * time.Second)
				d.cancel("0")
				d.applyFault(fault.Spec{Kind: c.before})
			}
			d.submitN(t, c.streams, 1_000)
			d.run(4 * time.Second)
			require.Equal(t, c.incarnation, d.incarnation)
		})
	}
}

func TestOverloadMakesAColdEngineSlow(t *testing.T) {
	produced := map[int]int{}
	for _, streams := range []int{4, 5} {
		d := newDriver(Options{ColdStreams: 4})
		readers := d.submitN(t, streams, 1_000)
		d.run(time.Second)
		produced[streams] = readers[0].stream.produced
	}
	require.Greater(t, produced[4], 3*produced[5])
}

func TestLoadReportLags(t *testing.T) {
	d := newDriver(Options{LoadLag: time.Second})
	d.run(100 * time.Millisecond)
	d.submitN(t, 1, 1_000)
	seen := map[int]bool{}
	for range 25 {
		report := d.currentLoad()
		seen[len(report.Streams)] = true
		require.LessOrEqual(t, report.AgeMS, int64(2_000))
		require.Equal(t, report.AgeMS, d.clock.Now().Sub(report.at).Milliseconds())
		d.run(100 * time.Millisecond)
	}
	require.Equal(t, map[int]bool{0: true, 1: true}, seen)
}

func TestReclaimIsAnnouncedBeforeTheEngineExits(t *testing.T) {
	d := newDriver(Options{})
	r := d.submitN(t, 1, 100_000)[0]
	d.applyFault(fault.Spec{Kind: FaultReclaim, DelayMS: 2_000})
	require.True(t, d.currentLoad().Leaving)
	d.run(1_999 * time.Millisecond)
	require.False(t, d.isDown())
	d.run(time.Millisecond)
	require.True(t, d.isDown())
	<-r.incarnationEnded
}

func TestFrozenEngineGoesOnAfterwards(t *testing.T) {
	d := newDriver(Options{})
	r := d.submitN(t, 1, 1_000)[0]
	d.run(time.Second)
	before := r.stream.produced
	d.applyFault(fault.Spec{Kind: FaultFreeze, DurationMS: 60_000})
	d.run(time.Minute - time.Millisecond)
	require.Equal(t, before, r.stream.produced)
	d.run(time.Second)
	require.Greater(t, r.stream.produced, before)
}

func TestCacheEventsComeLate(t *testing.T) {
	d := newDriver(Options{CacheLag: time.Second})
	d.submitN(t, 1, 1)
	require.Empty(t, d.cacheEvents(0).Events)
	d.run(time.Second)
	require.Len(t, d.cacheEvents(0).Events, 1)
}

// Every stream ends at its own length however often it is preempted. Memory is never
// exceeded, and usedTokens always equals the sum of the running streams' contexts.
func TestBatchOfAnyStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const memory = 400
		b := &batch{memoryTokens: memory, maxRunning: rapid.IntRange(1, 12).Draw(t, "limit"), prefillChunk: 64}
		lengths := rapid.SliceOfN(rapid.IntRange(1, 200), 1, 20).Draw(t, "lengths")
		for i, length := range lengths {
			b.add(&stream{promptTokens: 1 + i*7%100, length: length, priority: i % 3, arrival: uint64(i)})
		}
		total := len(lengths)
		for steps := 0; total > 0; steps++ {
			require.Less(t, steps, 20_000, "the streams do not end")
			b.admit(func(*stream) int { return 0 })
			b.computePrefill()
			for _, s := range b.decode() {
				if s.produced == s.length {
					b.remove(s)
					s.phase = ended
					total--
				}
			}
			held := 0
			for _, s := range b.running {
				held += s.context()
			}
			require.Equal(t, held, b.usedTokens)
			require.LessOrEqual(t, b.usedTokens, memory)
			require.Equal(t, total, len(b.running)+len(b.waiting))
		}
	})
}

func TestFullMemoryPreemptsTheYoungestOfTheLowestPriority(t *testing.T) {
	b := &batch{memoryTokens: 30, maxRunning: 8, prefillChunk: 1_000}
	urgent, older, younger := &stream{promptTokens: 9, arrival: 3}, &stream{promptTokens: 9, priority: 1, arrival: 1}, &stream{promptTokens: 9, priority: 1, arrival: 2}
	for _, s := range []*stream{younger, older, urgent} {
		s.length = 100
		b.add(s)
	}
	b.memoryTokens = 64
	b.admit(func(*stream) int { return 0 })
	b.memoryTokens = 30
	b.computePrefill()
	require.Len(t, b.decode(), 3)
	require.Len(t, b.decode(), 2)
	require.Equal(t, []*stream{younger}, b.waiting)
	require.Equal(t, uint64(1), b.preemptions)
}
