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
		request    Request
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
			balancer := NewBalancer()
			c.prepare(balancer)
			choice, ok := balancer.Choose(c.candidates, c.request, 0)
			require.True(t, ok)
			require.Equal(t, c.want, choice.Target.Target)
		})
	}
	_, ok := NewBalancer().Choose(nil, Request{}, 0)
	require.False(t, ok)
}

func TestFailingTargetIsAvoidedByItsOutcomes(t *testing.T) {
	balancer := NewBalancer()
	candidates := []Candidate{{Target: "good", DataCentre: "b", Slots: 6}, {Target: "bad", DataCentre: "a", Slots: 6}}
	for i := range 20 {
		outcome := Answered
		if i%2 == 0 {
			outcome = Failed
		}
		balancer.RecordOutcome(Candidate{Target: "bad"}, outcome, 0)
	}
	choice, ok := balancer.Choose(candidates, Request{DataCentre: "a"}, 0)
	require.True(t, ok)
	require.Equal(t, core.TargetID("good"), choice.Target.Target)
}

// A copy is never placed on the target of its generation, and copies never fill a target
// beyond copyMemoryShare.
func TestCopyHasRoomElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer, candidates := NewBalancer(), engines("x", "y", "z")
		for i := range rapid.IntRange(0, 60).Draw(t, "streams") {
			request := Request{ID: fmt.Sprint(i), Memory: core.Tokens(rapid.IntRange(100, 6000).Draw(t, "memory")), WantsCopy: true}
			choice, ok := balancer.Choose(candidates, request, 0)
			require.True(t, ok)
			balancer.Add(choice.Target.Target, Load{Requests: 1, Memory: request.Memory})
			if !choice.HasCopy() {
				continue
			}
			require.NotEqual(t, choice.Target.Target, choice.Copy.Target)
			balancer.Add(choice.Copy.Target, Load{Copies: request.Memory})
			held := balancer.load(choice.Copy.Target)
			require.LessOrEqual(t, float64(held.Memory+held.Copies), copyMemoryShare*float64(choice.Copy.Memory))
		}
	})
}

func TestPeerLoadExpires(t *testing.T) {
	balancer := NewBalancer()
	balancer.SetPeerLoad("h", map[core.TargetID]Load{"x": {Requests: 5}}, 0, 0)
	balancer.Expire(time.Second)
	require.Equal(t, 5, balancer.load("x").Requests)
	balancer.Expire(peerLoadTTL)
	require.Zero(t, balancer.load("x").Requests)
}

// A grant counts until a report covers it, in whatever order reports and grants come, and
// no load is left when all hosts are forgotten.
func TestGrantsCountUntilReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer := NewBalancer()
		reported, pending := map[core.HostID]int{}, map[core.HostID][]uint64{}
		for number := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			host := core.HostID(rapid.SampledFrom([]string{"h", "i"}).Draw(t, "host"))
			if rapid.Bool().Draw(t, "grant") {
				balancer.AddPeerGrant(host, number, map[core.TargetID]Load{"x": {Requests: 1}}, 0)
				pending[host] = append(pending[host], number)
			} else {
				lastPlacement := uint64(rapid.IntRange(0, int(number)).Draw(t, "granted"))
				reported[host] = rapid.IntRange(0, 9).Draw(t, "work")
				balancer.SetPeerLoad(host, map[core.TargetID]Load{"x": {Requests: reported[host]}}, lastPlacement, 0)
				var left []uint64
				for _, n := range pending[host] {
					if n > lastPlacement {
						left = append(left, n)
					}
				}
				pending[host] = left
			}
			want := reported["h"] + reported["i"] + len(pending["h"]) + len(pending["i"])
			require.Equal(t, want, balancer.load("x").Requests)
		}
		balancer.ForgetPeer("h")
		balancer.ForgetPeer("i")
		require.Zero(t, balancer.load("x"))
	})
}

func TestPendingPrefillCountsAsLoad(t *testing.T) {
	balancer := NewBalancer()
	balancer.Add("x", Load{Requests: 1, Memory: 3000, PendingPrefill: 3000})
	balancer.Add("y", Load{Requests: 1, Memory: 6000})
	choice, ok := balancer.Choose(engines("x", "y"), Request{DataCentre: "a", Memory: 3000}, 0)
	require.True(t, ok)
	require.Equal(t, core.TargetID("y"), choice.Target.Target)
}

func TestCutOffDataCentre(t *testing.T) {
	balancer := NewBalancer()
	far := []Candidate{{Target: "f1", DataCentre: "b"}, {Target: "f2", DataCentre: "b"}}
	balancer.RecordOutcome(far[0], Unreachable, 0)
	require.False(t, balancer.CutOff("b", 0), "one target may have died")
	balancer.RecordOutcome(far[1], Unreachable, 0)
	require.True(t, balancer.CutOff("b", time.Second))
	require.False(t, balancer.CutOff("b", cutOffPeriod))
	balancer.RecordOutcome(far[0], Answered, time.Second)
	require.False(t, balancer.CutOff("b", time.Second))
}

func TestExceedsMemory(t *testing.T) {
	balancer, x := NewBalancer(), engines("x")[0]
	balancer.Add("x", Load{Memory: 30_000, Copies: 3_000})
	require.False(t, balancer.ExceedsMemory(x, Request{Memory: 3_000}))
	require.True(t, balancer.ExceedsMemory(x, Request{Memory: 5_000}))
	require.False(t, balancer.ExceedsMemory(Candidate{Target: "call"}, Request{}), "plain services have no memory")
}

func TestCopyIsKeptInAnotherDataCentre(t *testing.T) {
	balancer, candidates := NewBalancer(), engines("x", "y", "z")
	candidates[2].DataCentre = "b"
	balancer.Add("z", Load{Memory: 3_000})
	holder, ok := balancer.ChooseCopy(candidates, Request{ID: "r", DataCentre: "a", Memory: 3_000}, "x", 0)
	require.True(t, ok)
	require.Equal(t, core.TargetID("z"), holder.Target)
}

// A target that failed is tried again after a while even if other targets never fail.
func TestFailureRateDecays(t *testing.T) {
	balancer := NewBalancer()
	candidates := []Candidate{{Target: "near", DataCentre: "a", Slots: 6}, {Target: "far", DataCentre: "b", Slots: 6}}
	for range 5 {
		balancer.RecordOutcome(candidates[0], Failed, 0)
	}
	choice, _ := balancer.Choose(candidates, Request{DataCentre: "a"}, time.Second)
	require.Equal(t, core.TargetID("far"), choice.Target.Target)
	choice, _ = balancer.Choose(candidates, Request{DataCentre: "a"}, 10*time.Second)
	require.Equal(t, core.TargetID("near"), choice.Target.Target)
}

// No copies are added beyond totalCopyMemoryShare, because they take memory and links that
// generations need when targets leave.
func TestCopiesNeedFreeMemoryOverAllTargets(t *testing.T) {
	balancer, candidates := NewBalancer(), engines("u", "v", "w", "x", "y", "z")
	request := Request{ID: "r", Memory: 4000, WantsCopy: true}
	choice, ok := balancer.Choose(candidates, request, 0)
	require.True(t, ok)
	require.True(t, choice.HasCopy())
	for _, id := range []core.TargetID{"u", "v", "w", "x"} {
		balancer.Add(id, Load{Memory: 33_000})
	}
	choice, ok = balancer.Choose(candidates, request, 0)
	require.True(t, ok)
	require.False(t, choice.HasCopy(), "y and z have room, but the targets together do not")
}

// A target with few generations but a slow pending prefill scores worse than one whose
// memory may be slightly exceeded when all generations reach their final size.
func TestSlowPrefillOutweighsMemory(t *testing.T) {
	balancer := NewBalancer()
	balancer.Add("x", Load{Requests: 4, Memory: 14_000, PendingPrefill: 12_000})
	balancer.Add("y", Load{Requests: 8, Memory: 30_500})
	choice, ok := balancer.Choose(engines("x", "y"), Request{DataCentre: "a", Memory: 3500, Prompt: 3000}, 0)
	require.True(t, ok)
	require.Equal(t, core.TargetID("y"), choice.Target.Target)
}

// A placement among thousands of targets scores only a sample, and still finds an idle one.
func TestPlacementAmongThousands(t *testing.T) {
	var ids []string
	for i := range 3000 {
		ids = append(ids, fmt.Sprint("t", i))
	}
	balancer, candidates := NewBalancer(), engines(ids...)
	for i, candidate := range candidates {
		if i%5 != 0 {
			balancer.Add(candidate.Target, Load{Requests: 6, Memory: 24_000})
		}
	}
	for i := range 300 {
		request := Request{ID: fmt.Sprint(i), DataCentre: "a", Memory: 4000, Prompt: 3000, WantsCopy: true}
		choice, ok := balancer.Choose(candidates, request, 0)
		require.True(t, ok)
		require.Zero(t, balancer.load(choice.Target.Target).Memory)
	}
	for _, candidate := range candidates[:len(candidates)-1] {
		balancer.RecordOutcome(candidate, Misdirected, 0)
	}
	avoid := make([]core.TargetID, 0, len(candidates))
	for _, candidate := range candidates[1:] {
		avoid = append(avoid, candidate.Target)
	}
	choice, ok := balancer.Choose(candidates, Request{ID: "r", Avoid: avoid}, 0)
	require.True(t, ok, "the only target left is found")
	require.Equal(t, candidates[0].Target, choice.Target.Target)
}

func BenchmarkPlacementAmongThousands(b *testing.B) {
	var ids []string
	for i := range 3000 {
		ids = append(ids, fmt.Sprint("t", i))
	}
	balancer, candidates := NewBalancer(), engines(ids...)
	request := Request{ID: "r", DataCentre: "a", Memory: 4000, Prompt: 3000, WantsCopy: true}
	for b.Loop() {
		balancer.Choose(candidates, request, 0)
	}
}

// TestRestOutlastsAMissingEntry guards against requests to a target that has asked to be sent nothing for a time:
// its entry in the registry is missing for a while.
func TestRestOutlastsAMissingEntry(t *testing.T) {
	balancer, target := NewBalancer(), Candidate{Target: "t"}
	balancer.RecordRest("t", 10*time.Second, 0)
	balancer.RecordOutcome(target, Unreachable, 0)
	balancer.ForgetRemoved("t")
	require.False(t, balancer.Avoided("t", time.Millisecond), "outcomes are kept")
	balancer.Expire(9 * time.Second)
	require.Equal(t, map[core.TargetID]time.Duration{"t": time.Second}, balancer.Resting(9*time.Second))
	balancer.Expire(10 * time.Second)
	require.Empty(t, balancer.health)

	balancer.RecordRest("t", 10*time.Second, 0)
	balancer.ForgetRemoved("t")
	balancer.RecordOutcome(target, Full, 0)
	balancer.Expire(20 * time.Second)
	require.NotEmpty(t, balancer.health, "recorded since")
	balancer.Forget("t")
	require.Empty(t, balancer.Resting(0), "has restarted")
}
