package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

func engines(ids ...string) []Candidate {
	var all []Candidate
	for _, id := range ids {
		all = append(all, Candidate{Target: core.TargetID(id), DataCentre: "a", Slots: 24, Memory: 34_000})
	}
	return all
}

func TestChoose(t *testing.T) {
	services := []Candidate{{Target: "near", DataCentre: "a", Slots: 6}, {Target: "far", DataCentre: "b", Slots: 6}}
	for name, c := range map[string]struct {
		candidates []Candidate
		prepare    func(*Balancer)
		need       Request
		want       core.TargetID
	}{
		"near first":               {services, func(*Balancer) {}, Request{DataCentre: "a"}, "near"},
		"far when near is loaded":  {services, func(b *Balancer) { b.Add("near", Load{Requests: 3}) }, Request{DataCentre: "a"}, "far"},
		"another host's work":      {services, func(b *Balancer) { b.SetPeerLoad("h", map[core.TargetID]Load{"near": {Requests: 3}}, 0, 0) }, Request{DataCentre: "a"}, "far"},
		"avoided":                  {services, func(*Balancer) {}, Request{DataCentre: "a", Avoid: []core.TargetID{"near"}}, "far"},
		"unreachable":              {services, func(b *Balancer) { b.RecordOutcome(Candidate{Target: "near"}, Unreachable, 0) }, Request{DataCentre: "a"}, "far"},
		"only one, though avoided": {services[:1], func(b *Balancer) { b.RecordOutcome(Candidate{Target: "near"}, Unreachable, 0) }, Request{DataCentre: "a"}, "near"},
		"address reused":           {services, func(b *Balancer) { b.RecordOutcome(Candidate{Target: "near"}, Misdirected, 0) }, Request{DataCentre: "a"}, "far"},
		"memory decides":           {engines("x", "y"), func(b *Balancer) { b.Add("x", Load{Memory: 9000}) }, Request{Memory: 4000}, "y"},
		"copies take memory":       {engines("x", "y"), func(b *Balancer) { b.Add("x", Load{Copies: 9000}) }, Request{Memory: 4000}, "y"},
	} {
		t.Run(name, func(t *testing.T) {
			book := NewBalancer()
			c.prepare(book)
			choice, ok := book.Choose(c.candidates, c.need, 0)
			require.True(t, ok)
			require.Equal(t, c.want, choice.Target.Target)
		})
	}
	_, ok := NewBalancer().Choose(nil, Request{}, 0)
	require.False(t, ok)
}

func TestFailingTargetIsAvoidedByItsOutcomes(t *testing.T) {
	book := NewBalancer()
	candidates := []Candidate{{Target: "good", DataCentre: "b", Slots: 6}, {Target: "bad", DataCentre: "a", Slots: 6}}
	for i := range 20 {
		outcome := Answered
		if i%2 == 0 {
			outcome = Failed
		}
		book.RecordOutcome(Candidate{Target: "bad"}, outcome, 0)
	}
	choice, ok := book.Choose(candidates, Request{DataCentre: "a"}, 0)
	require.True(t, ok)
	require.Equal(t, core.TargetID("good"), choice.Target.Target)
}

// The copy is never where the generation runs, and never beyond the room for copies.
func TestCopyHasRoomElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book, candidates := NewBalancer(), engines("x", "y", "z")
		for i := range rapid.IntRange(0, 60).Draw(t, "streams") {
			need := Request{ID: fmt.Sprint(i), Memory: core.Tokens(rapid.IntRange(100, 6000).Draw(t, "memory")), WantsCopy: true}
			choice, ok := book.Choose(candidates, need, 0)
			require.True(t, ok)
			book.Add(choice.Target.Target, Load{Requests: 1, Memory: need.Memory})
			if !choice.HasCopy() {
				continue
			}
			require.NotEqual(t, choice.Target.Target, choice.Copy.Target)
			book.Add(choice.Copy.Target, Load{Copies: need.Memory})
			held := book.load(choice.Copy.Target)
			require.LessOrEqual(t, float64(held.Memory+held.Copies), copyRoom*float64(choice.Copy.Memory))
		}
	})
}

func TestLoadOfASilentHostLapses(t *testing.T) {
	book := NewBalancer()
	book.SetPeerLoad("h", map[core.TargetID]Load{"x": {Requests: 5}}, 0, 0)
	book.Expire(time.Second)
	require.Equal(t, 5, book.load("x").Requests)
	book.Expire(peerLoadTTL)
	require.Zero(t, book.load("x").Requests)
}

// However reports and grants cross, a grant counts until a report covers it, and nothing
// is left when all hosts are forgotten.
func TestGrantsCountUntilReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := NewBalancer()
		reported, pending := map[core.HostID]int{}, map[core.HostID][]uint64{}
		for number := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			host := core.HostID(rapid.SampledFrom([]string{"h", "i"}).Draw(t, "host"))
			if rapid.Bool().Draw(t, "grant") {
				book.AddPeerGrant(host, number, map[core.TargetID]Load{"x": {Requests: 1}}, 0)
				pending[host] = append(pending[host], number)
			} else {
				granted := uint64(rapid.IntRange(0, int(number)).Draw(t, "granted"))
				reported[host] = rapid.IntRange(0, 9).Draw(t, "work")
				book.SetPeerLoad(host, map[core.TargetID]Load{"x": {Requests: reported[host]}}, granted, 0)
				var left []uint64
				for _, n := range pending[host] {
					if n > granted {
						left = append(left, n)
					}
				}
				pending[host] = left
			}
			want := reported["h"] + reported["i"] + len(pending["h"]) + len(pending["i"])
			require.Equal(t, want, book.load("x").Requests)
		}
		book.ForgetPeer("h")
		book.ForgetPeer("i")
		require.Zero(t, book.load("x"))
	})
}

func TestPromptsThatAreBeingReadWeigh(t *testing.T) {
	book := NewBalancer()
	book.Add("x", Load{Requests: 1, Memory: 3000, PendingPrefill: 3000})
	book.Add("y", Load{Requests: 1, Memory: 6000})
	choice, ok := book.Choose(engines("x", "y"), Request{DataCentre: "a", Memory: 3000}, 0)
	require.True(t, ok)
	require.Equal(t, core.TargetID("y"), choice.Target.Target)
}

func TestDataCentreThatIsCutOff(t *testing.T) {
	book := NewBalancer()
	far := []Candidate{{Target: "f1", DataCentre: "b"}, {Target: "f2", DataCentre: "b"}}
	book.RecordOutcome(far[0], Unreachable, 0)
	require.False(t, book.CutOff("b", 0), "one target may have died")
	book.RecordOutcome(far[1], Unreachable, 0)
	require.True(t, book.CutOff("b", time.Second))
	require.False(t, book.CutOff("b", suspectPeriod))
	book.RecordOutcome(far[0], Answered, time.Second)
	require.False(t, book.CutOff("b", time.Second))
}

func TestCrowdedTarget(t *testing.T) {
	book, x := NewBalancer(), engines("x")[0]
	book.Add("x", Load{Memory: 30_000, Copies: 3_000})
	require.False(t, book.ExceedsMemory(x, Request{Memory: 3_000}))
	require.True(t, book.ExceedsMemory(x, Request{Memory: 5_000}))
	require.False(t, book.ExceedsMemory(Candidate{Target: "call"}, Request{}), "plain services have no memory")
}

func TestCopyIsKeptInAnotherDataCentre(t *testing.T) {
	book, candidates := NewBalancer(), engines("x", "y", "z")
	candidates[2].DataCentre = "b"
	book.Add("z", Load{Memory: 3_000})
	holder, ok := book.ChooseCopy(candidates, Request{ID: "r", DataCentre: "a", Memory: 3_000}, "x", 0)
	require.True(t, ok)
	require.Equal(t, core.TargetID("z"), holder.Target)
}

// A target that failed is tried again after a while, though others never fail.
func TestFailuresAreForgottenWithTime(t *testing.T) {
	book := NewBalancer()
	candidates := []Candidate{{Target: "near", DataCentre: "a", Slots: 6}, {Target: "far", DataCentre: "b", Slots: 6}}
	for range 5 {
		book.RecordOutcome(candidates[0], Failed, 0)
	}
	choice, _ := book.Choose(candidates, Request{DataCentre: "a"}, time.Second)
	require.Equal(t, core.TargetID("far"), choice.Target.Target)
	choice, _ = book.Choose(candidates, Request{DataCentre: "a"}, 10*time.Second)
	require.Equal(t, core.TargetID("near"), choice.Target.Target)
}

// A copy takes memory and links that generations need when targets leave.
func TestCopiesAreKeptWhileThereIsRoomForAll(t *testing.T) {
	book, candidates := NewBalancer(), engines("u", "v", "w", "x", "y", "z")
	need := Request{ID: "r", Memory: 4000, WantsCopy: true}
	choice, ok := book.Choose(candidates, need, 0)
	require.True(t, ok)
	require.True(t, choice.HasCopy())
	for _, id := range []core.TargetID{"u", "v", "w", "x"} {
		book.Add(id, Load{Memory: 33_000})
	}
	choice, ok = book.Choose(candidates, need, 0)
	require.True(t, ok)
	require.False(t, choice.HasCopy(), "y and z have room, but all together do not")
}

// A target with few generations whose prompts are still to be read is no better place
// than one whose memory may be a little short when all generations end.
func TestLatePromptsWeighAgainstMemory(t *testing.T) {
	book := NewBalancer()
	book.Add("x", Load{Requests: 4, Memory: 14_000, PendingPrefill: 12_000})
	book.Add("y", Load{Requests: 8, Memory: 30_500})
	choice, ok := book.Choose(engines("x", "y"), Request{DataCentre: "a", Memory: 3500, Prompt: 3000}, 0)
	require.True(t, ok)
	require.Equal(t, core.TargetID("y"), choice.Target.Target)
}

// A placement among thousands looks at some of them, and still takes an idle one.
func TestPlacementAmongThousands(t *testing.T) {
	var ids []string
	for i := range 3000 {
		ids = append(ids, fmt.Sprint("t", i))
	}
	book, candidates := NewBalancer(), engines(ids...)
	for i, candidate := range candidates {
		if i%5 != 0 {
			book.Add(candidate.Target, Load{Requests: 6, Memory: 24_000})
		}
	}
	for i := range 300 {
		need := Request{ID: fmt.Sprint(i), DataCentre: "a", Memory: 4000, Prompt: 3000, WantsCopy: true}
		choice, ok := book.Choose(candidates, need, 0)
		require.True(t, ok)
		require.Zero(t, book.load(choice.Target.Target).Memory)
	}
	for _, candidate := range candidates[:len(candidates)-1] {
		book.RecordOutcome(candidate, Misdirected, 0)
	}
	avoid := make([]core.TargetID, 0, len(candidates))
	for _, candidate := range candidates[1:] {
		avoid = append(avoid, candidate.Target)
	}
	choice, ok := book.Choose(candidates, Request{ID: "r", Avoid: avoid}, 0)
	require.True(t, ok, "the only one left is found")
	require.Equal(t, candidates[0].Target, choice.Target.Target)
}

func BenchmarkPlacementAmongThousands(b *testing.B) {
	var ids []string
	for i := range 3000 {
		ids = append(ids, fmt.Sprint("t", i))
	}
	book, candidates := NewBalancer(), engines(ids...)
	need := Request{ID: "r", DataCentre: "a", Memory: 4000, Prompt: 3000, WantsCopy: true}
	for b.Loop() {
		book.Choose(candidates, need, 0)
	}
}
