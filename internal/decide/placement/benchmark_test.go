package placement

import (
	"fmt"
	"testing"

	"siskintide.example/siskintide/internal/core"
)

// loadedEngines returns n engines with uneven load.
func loadedEngines(n int) (*Balancer, []Candidate) {
	balancer := NewBalancer()
	var candidates []Candidate
	for i := range n {
		id := core.TargetID(fmt.Sprintf("i-%010x", i))
		candidates = append(candidates, Candidate{Target: id, DataCentre: core.DataCentreID(fmt.Sprint("dc-", i%3)), Slots: 24, Memory: 26_900})
		balancer.Add(id, Load{Requests: 2 + i%4, Memory: core.Tokens(7000 + 2000*(i%4)), PendingPrefill: core.Tokens(1000 * (i % 3))})
	}
	return balancer, candidates
}

// BenchmarkChoose measures the choice of an engine in two deployments.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{71, 122} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, candidates := loadedEngines(n)
			request := Request{ID: "9c41e1e742a3b5ec", DataCentre: "dc-0", Memory: 3800, Prompt: 3079}
			b.ReportAllocs()
			for b.Loop() {
				balancer.Choose(candidates, request, 0)
			}
		})
	}
}

// BenchmarkChooseByPrefix measures the choice while every engine holds as many parts as it can: two parts of which the
// first one is everywhere.
func BenchmarkChooseByPrefix(b *testing.B) {
	for _, n := range []int{71, 122} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, candidates := loadedEngines(n)
			shared := core.PrefixPart{Key: 1, Tokens: 79}
			request := Request{ID: "9c41e1e742a3b5ec", DataCentre: "dc-0", Memory: 3800, Prompt: 3079}
			for i := range 70 * n {
				own := core.PrefixPart{Key: core.PromptPart(100 + i), Tokens: 350}
				request.Prefix = []core.PrefixPart{shared, own}
				balancer.RecordPrefix(candidates[i%n], request, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				if choice, ok := balancer.Choose(candidates, request, 0); ok {
					balancer.RecordPrefix(choice.Target, request, 0)
				}
			}
		})
	}
}
