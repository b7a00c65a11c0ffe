package revision

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

var start = time.Unix(100, 0)

func at(revision core.Revision) *core.Config { return &core.Config{Revision: revision} }

func headOf(revision core.Revision) Head { return Head{Revision: revision, Object: "o"} }

// For any sequence of offers, the revision in force is the highest one offered so far.
func TestRevisionInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(DefaultTiming(), 1)
		highest := core.Revision(0)
		for _, next := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "offers") {
			revision := core.Revision(next)
			published := false
			for _, effect := range f.Offer(at(revision), start) {
				_, isPublish := effect.(Publish)
				published = published || isPublish
			}
			require.Equal(t, revision > highest, published)
			highest = max(highest, revision)
			require.Equal(t, highest, f.Revision())
		}
	})
}

func TestFollowerEvents(t *testing.T) {
	cases := map[string]struct {
		event func(f *Follower) []Effect
		want  []Effect
	}{
		"newer head is fetched":       {func(f *Follower) []Effect { return f.HandleHead(HeadRead{OK: true, Head: headOf(6)}, start) }, []Effect{FetchBody{Head: headOf(6)}}},
		"head in force":               {func(f *Follower) []Effect { return f.HandleHead(HeadRead{OK: true, Head: headOf(5)}, start) }, nil},
		"older head":                  {func(f *Follower) []Effect { return f.HandleHead(HeadRead{OK: true, Head: headOf(4)}, start) }, nil},
		"lost head":                   {func(f *Follower) []Effect { return f.HandleHead(HeadRead{Head: headOf(6)}, start) }, nil},
		"body of its head":            {func(f *Follower) []Effect { return f.HandleBody(BodyFetched{Head: headOf(6), Config: at(6)}, start) }, []Effect{Publish{Config: at(6)}}},
		"body of another revision":    {func(f *Follower) []Effect { return f.HandleBody(BodyFetched{Head: headOf(6), Config: at(7)}, start) }, nil},
		"body that could not be had":  {func(f *Follower) []Effect { return f.HandleBody(BodyFetched{Head: headOf(6)}, start) }, nil},
		"peer ahead":                  {func(f *Follower) []Effect { return f.HandlePeer("b", 6, start) }, []Effect{FetchFromPeer{Host: "b", Above: 5}}},
		"peer behind":                 {func(f *Follower) []Effect { return f.HandlePeer("b", 4, start) }, nil},
		"older configuration offered": {func(f *Follower) []Effect { return f.Offer(at(4), start) }, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := New(DefaultTiming(), 1)
			f.Offer(at(5), start)
			require.ElementsMatch(t, c.want, c.event(f))
		})
	}
}

func TestLostCallsAreRepeatedAndAnotherPeerIsAsked(t *testing.T) {
	f := New(DefaultTiming(), 1)
	require.Equal(t, []Effect{ReadHead{}}, f.Tick(start))
	require.Empty(t, f.Tick(start.Add(time.Second)), "the read is still in flight")
	require.Equal(t, []Effect{ReadHead{}}, f.Tick(start.Add(4*time.Second)))

	f.HandlePeer("b", 3, start)
	require.Empty(t, f.HandlePeer("c", 2, start.Add(time.Second)), "one request at a time")
	require.Contains(t, f.Tick(start.Add(5*time.Second)), FetchFromPeer{Host: "c"}, "another peer is chosen before the one that did not answer")
	require.Contains(t, f.Tick(start.Add(9*time.Second)), FetchFromPeer{Host: "b"})
	f.DropPeer("b")
	f.DropPeer("c")
	require.NotContains(t, f.Tick(start.Add(20*time.Second)), FetchFromPeer{Host: "b"})
}

// The polls of 400 hosts are spread and stay near 200 reads a second.
func TestPollsAreSpread(t *testing.T) {
	const hosts = 400
	timing := DefaultTiming()
	seconds := [30]int{}
	for seed := range uint64(hosts) {
		f := New(timing, seed)
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
			for _, effect := range f.Tick(now) {
				if _, read := effect.(ReadHead); read {
					seconds[int(now.Sub(start)/time.Second)]++
					f.HandleHead(HeadRead{OK: true}, now)
				}
			}
		}
	}
	for second := 20; second < 30; second++ {
		require.InDelta(t, 200, seconds[second], 60, "second %d", second)
	}
}
