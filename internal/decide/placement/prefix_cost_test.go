package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

func prefixRequest(shared, own core.Tokens) Request {
	return Request{
		ID: "r", DataCentre: "a", Memory: shared + own + 700, Prompt: shared + own,
		Prefix: []core.PrefixPart{{Key: 1, Tokens: shared}, {Key: 2, Tokens: own}},
	}
}

// Guards against a prefix that outweighs load, memory, distance or health, and against one that is not used.
func TestPrefixIsWeighedAgainstLoad(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*Balancer)
		request Request
		holder  core.TargetID
		want    core.TargetID
	}{
		"session's engine":                    {func(*Balancer) {}, prefixRequest(350, 2200), "y", "y"},
		"session's engine with a little load": {func(b *Balancer) { b.Add("y", Load{Requests: 1, Memory: 3000}) }, prefixRequest(350, 2200), "y", "y"},
		"small prefix, some load":             {func(b *Balancer) { b.Add("y", Load{Requests: 1, Memory: 3000}) }, prefixRequest(79, 79), "y", "x"},
		"crowded by memory":                   {func(b *Balancer) { b.Add("y", Load{Memory: 26_000}); b.Add("x", Load{Memory: 22_000}) }, prefixRequest(350, 3000), "y", "x"},
		"no free slot":                        {func(b *Balancer) { b.Add("y", Load{Requests: 24}); b.Add("x", Load{Requests: 23}) }, prefixRequest(350, 2200), "y", "x"},
		"late first events":                   {func(b *Balancer) { b.Add("y", Load{PendingPrefill: 10_100}); b.Add("x", Load{PendingPrefill: 9900}) }, prefixRequest(350, 2200), "y", "x"},
		"much more load":                      {func(b *Balancer) { b.Add("y", Load{Memory: 12_000}) }, prefixRequest(350, 6000), "y", "x"},
		"unreachable":                         {func(b *Balancer) { b.RecordOutcome(Candidate{Target: "y"}, Unreachable, 0) }, prefixRequest(350, 6000), "y", "x"},
		"restarted":                           {func(b *Balancer) { b.Forget("y"); b.Add("y", Load{Memory: 1}) }, prefixRequest(350, 6000), "y", "x"},
		"removed":                             {func(b *Balancer) { b.ForgetRemoved("y"); b.Add("y", Load{Memory: 1}) }, prefixRequest(350, 6000), "y", "x"},
		"expired":                             {func(b *Balancer) { b.Expire(time.Hour); b.Add("y", Load{Memory: 1}) }, prefixRequest(350, 6000), "y", "x"},
		"other data centre":                   {func(*Balancer) {}, prefixRequest(350, 8000), "far", "x"},
		"limited":                             {func(*Balancer) {}, prefixRequest(350, 8000), "limited", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			balancer := NewBalancer()
			candidates := engines("x", "y")
			candidates = append(candidates, Candidate{Target: "far", DataCentre: "b", Slots: 24, Memory: 34_000}, Candidate{Target: "limited", DataCentre: "a", Slots: 24, Memory: 34_000, Limited: true})
			if c.holder != "far" && c.holder != "limited" {
				candidates = candidates[:2]
			} else {
				candidates = append(candidates[:1], candidates[2:]...)
			}
			balancer.RecordPrefix(Candidate{Target: c.holder, Memory: 34_000}, c.request, 0)
			c.prepare(balancer)
			choice, ok := balancer.Choose(candidates, c.request, 0)
			require.True(t, ok)
			require.Equal(t, c.want, choice.Target.Target)
		})
	}
}

// Guards against more tokens expected than the prompt has, whatever sizes of parts a caller names.
func TestExpectedTokensAreThoseOfThePrompt(t *testing.T) {
	balancer, candidates := NewBalancer(), engines("x")
	request := prefixRequest(350, 2200)
	balancer.RecordPrefix(candidates[0], request, 0)
	for _, prompt := range []core.Tokens{2550, 100} {
		request.Prompt = prompt
		choice, ok := balancer.Choose(candidates, request, 0)
		require.True(t, ok)
		require.Equal(t, prompt, choice.ExpectedCached)
	}
}

// Guards against a changed choice where prefixes are not weighed: a request without prefix gets the target and the score
// that the terms of load, distance and health give alone, bit for bit, whatever is known of prefixes.
func TestChoiceWithoutPrefixIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 150).Draw(t, "engines")
		known, unknown := NewBalancer(), NewBalancer()
		var candidates []Candidate
		for i := range n {
			c := Candidate{
				Target: core.TargetID(fmt.Sprint(i)), DataCentre: core.DataCentreID(fmt.Sprint(i % 3)), Slots: rapid.IntRange(0, 24).Draw(t, "slots"),
				Memory: core.Tokens(rapid.IntRange(0, 1).Draw(t, "engine") * 26_900), Limited: rapid.IntRange(0, 9).Draw(t, "limited") == 0,
			}
			candidates = append(candidates, c)
			load := Load{Requests: rapid.IntRange(0, 20).Draw(t, "requests"), Memory: core.Tokens(rapid.IntRange(0, 28_000).Draw(t, "memory")), PendingPrefill: core.Tokens(rapid.IntRange(0, 14_000).Draw(t, "pending"))}
			outcome := Outcome(rapid.IntRange(int(Answered), int(Inconclusive)).Draw(t, "outcome"))
			for _, b := range []*Balancer{known, unknown} {
				b.Add(c.Target, load)
				b.RecordOutcome(c, outcome, 0)
			}
			known.RecordPrefix(c, prefixRequest(core.Tokens(rapid.IntRange(1, 3000).Draw(t, "shared")), 2200), 0)
		}
		request := Request{ID: rapid.StringMatching("[0-9a-f]{8}").Draw(t, "id"), DataCentre: "0", Memory: core.Tokens(rapid.IntRange(0, 6000).Draw(t, "forecast")), Prompt: 3000, WantsCopy: true}
		choice, ok := known.Choose(candidates, request, time.Second)
		formerChoice, formerOK := unknown.Choose(candidates, request, time.Second)
		require.Equal(t, formerOK, ok)
		require.Equal(t, formerChoice, choice)
		for i := range candidates {
			require.Equal(t, math.Float64bits(unknown.scoreWithoutPrefix(&candidates[i], request, time.Second)), math.Float64bits(known.score(&candidates[i], request, time.Second)))
		}
	})
}

// scoreWithoutPrefix is the score as it was before prefixes were weighed.
func (b *Balancer) scoreWithoutPrefix(c *Candidate, request Request, now time.Duration) float64 {
	load := b.load(c.Target)
	value := float64(load.Requests) / float64(max(c.Slots, 1))
	if c.Memory > 0 {
		share := float64(load.Memory+load.Copies+request.Memory) / float64(c.Memory)
		pending := load.PendingPrefill + request.Prompt
		value = max(value, share) + overcommitPenalty*max(share-fullMemoryShare, 0)
		value += float64(pending)/prefillScale + slowPrefillPenalty*max(float64(pending-slowPrefill), 0)/prefillScale
	}
	if c.Limited {
		value += limitedPenalty
	}
	return value + distancePenalty(c, request) + b.healthPenalty(c, now)
}
