package plan

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// threeDataCentres returns a configuration with two engines and one service process in each of
// three data centres.
func threeDataCentres() *core.Config {
	config := &core.Config{
		Revision: 7,
		Kinds: []core.TargetKind{
			{ID: "runner", Role: core.RoleEngine, ColdStreams: 2, WarmStreams: 10, MemoryTokens: 1000, WeightBytes: 50},
			{ID: "app", Role: core.RoleService, ColdStreams: 1, WarmStreams: 10},
		},
		Models:   []core.Model{{ID: "m", Version: "1", WeightBytes: 40}},
		Services: []core.Service{{ID: "s"}},
	}
	for _, centre := range []core.DataCentreID{"a", "b", "c"} {
		config.DataCentres = append(config.DataCentres, core.DataCentre{ID: centre, State: core.StateIn})
		for i := 1; i <= 2; i++ {
			config.Targets = append(config.Targets, core.Target{
				ID: core.TargetID(fmt.Sprintf("%s-%d", centre, i)), DataCentre: centre, Kind: "runner", Model: "m", Version: "1", State: core.StateIn,
			})
		}
		config.Targets = append(config.Targets, core.Target{
			ID: core.TargetID(centre + "-app"), DataCentre: centre, Kind: "app", Service: "s", State: core.StateIn,
		})
	}
	return config
}

// loadOf returns a load in which every engine has the same number of streams and tokens.
func loadOf(config *core.Config, streams int, memory core.Tokens) Load {
	load := Load{}
	for _, target := range config.Targets {
		known := TargetLoad{Target: target.ID, Limit: 10}
		if target.Model != "" {
			known.Streams, known.Memory, known.Forecast = streams, memory/2, memory
		}
		load.Targets = append(load.Targets, known)
	}
	return load
}

func withTargetsOut(config *core.Config, ids ...core.TargetID) *core.Config {
	next := clone(config)
	for i := range next.Targets {
		if slices.Contains(ids, next.Targets[i].ID) {
			next.Targets[i].State = core.StateOut
		}
	}
	return next
}

func TestTakeOutSaysWhatRemains(t *testing.T) {
	config := threeDataCentres()
	load := loadOf(config, 6, 500)
	load.Hosts = []HostLoad{{Host: "a-1", DataCentre: "a", Reachable: true}, {Host: "b-1", DataCentre: "b"}}
	p, err := Compute(config, Intent{Kind: TakeOut, DataCentre: "b"}, load)
	require.NoError(t, err)
	require.Equal(t, []Step{{Action: Change, Object: "data centre", ID: "b", Field: "state", From: "in", To: "out"}}, p.Steps)
	require.Len(t, p.Targets, 3)
	require.Equal(t, TargetEffect{Target: "b-1", DataCentre: "b", Kind: StopsTakingWork, Streams: 6, StreamsKnown: true}, p.Targets[0])
	require.Equal(t, PoolLoad{
		Pool: "model/m", TargetsBefore: 6, TargetsAfter: 4, Streams: 36, WarmStreamsBefore: 60, WarmStreamsAfter: 40, StreamLimitAfter: 40,
		Memory: 3000, MemoryTokensBefore: 6000, MemoryTokensAfter: 4000,
	}, p.Pools[0])
	require.Equal(t, WarnUnreachable, p.Warnings[0].Kind)
	require.Contains(t, p.Warnings[0].Detail, "not yet in force at b")
}

func TestRefusalsNameReasonAndNearestPlan(t *testing.T) {
	config := threeDataCentres()
	onlyA := withTargetsOut(config, "b-1", "b-2", "c-1", "c-2")
	without := clone(config)
	without.Targets = without.Targets[1:]
	without.Revision = 0
	fresh := clone(config)
	fresh.Models = append(fresh.Models, core.Model{ID: "new"})
	cases := map[string]struct {
		config  *core.Config
		intent  Intent
		streams int
		memory  core.Tokens
		reason  Reason
		nearest *Intent
	}{
		"unknown data centre":              {config, Intent{Kind: TakeOut, DataCentre: "z"}, 0, 0, UnknownObject, nil},
		"unknown target":                   {config, Intent{Kind: Drain, Targets: []core.TargetID{"z"}}, 0, 0, UnknownObject, nil},
		"unknown model":                    {config, Intent{Kind: BringIn, Model: "z", Version: "2"}, 0, 0, UnknownObject, nil},
		"no target":                        {config, Intent{Kind: Drain}, 0, 0, MalformedIntent, nil},
		"no version":                       {config, Intent{Kind: BringIn, Model: "m"}, 0, 0, MalformedIntent, nil},
		"no kind":                          {config, Intent{}, 0, 0, MalformedIntent, nil},
		"no declarations":                  {config, Intent{Kind: ApplyDeclarations}, 0, 0, MalformedIntent, nil},
		"already so":                       {config, Intent{Kind: Return, DataCentre: "a"}, 0, 0, NothingToChange, nil},
		"last of a model":                  {onlyA, Intent{Kind: TakeOut, DataCentre: "a"}, 0, 0, LastOfPool, &Intent{Kind: Drain, Targets: []core.TargetID{"a-1", "a-app"}}},
		"too many streams":                 {config, Intent{Kind: TakeOut, DataCentre: "a"}, 8, 0, Overload, &Intent{Kind: Drain, Targets: []core.TargetID{"a-1", "a-app"}}},
		"too much memory":                  {config, Intent{Kind: Drain, Targets: []core.TargetID{"a-1", "a-2"}}, 0, 800, Overload, &Intent{Kind: Drain, Targets: []core.TargetID{"a-1"}}},
		"no room at all":                   {config, Intent{Kind: Drain, Targets: []core.TargetID{"a-1"}}, 10, 0, Overload, nil},
		"weights too large":                {config, Intent{Kind: BringIn, Model: "m", Version: "2", WeightBytes: 51}, 0, 0, WeightsTooLarge, nil},
		"removes a target that takes work": {config, Intent{Kind: ApplyDeclarations, Declarations: without}, 0, 0, StillTakingWork, &Intent{Kind: Drain, Targets: []core.TargetID{"a-1"}}},
		"version missing":                  {config, Intent{Kind: ApplyDeclarations, Declarations: fresh}, 0, 0, InvalidResult, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Compute(c.config, c.intent, loadOf(c.config, c.streams, c.memory))
			refusal := &Refusal{}
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, c.reason, refusal.Reason)
			require.Equal(t, c.nearest, refusal.Nearest)
			require.NotEmpty(t, refusal.Message)
		})
	}
}

func TestAcceptedRisksAreWarnings(t *testing.T) {
	config := threeDataCentres()
	p, err := Compute(config, Intent{Kind: TakeOut, DataCentre: "a", AcceptOverload: true}, loadOf(config, 8, 0))
	require.NoError(t, err)
	require.Equal(t, WarnOverload, p.Warnings[0].Kind)
	p, err = Compute(config, Intent{Kind: Drain, Targets: []core.TargetID{"a-app", "b-app", "c-app"}, AcceptUnserved: true}, Load{})
	require.NoError(t, err)
	require.Equal(t, []WarningKind{WarnUnknownLoad, WarnUnserved}, []WarningKind{p.Warnings[0].Kind, p.Warnings[1].Kind})
	p, err = Compute(config, Intent{Kind: BringIn, Model: "m", Version: "2"}, loadOf(config, 8, 0))
	require.NoError(t, err)
	require.Equal(t, WarnReload, p.Warnings[0].Kind)
	cold := loadOf(config, 6, 0)
	cold.Targets[0].Limit = 2
	p, err = Compute(config, Intent{Kind: TakeOut, DataCentre: "b"}, cold)
	require.NoError(t, err)
	require.Equal(t, WarnWarming, p.Warnings[0].Kind)
}

func TestDeclarationsKeepStatesAndVersionsThatTheyLeaveOut(t *testing.T) {
	config := withTargetsOut(threeDataCentres(), "a-1")
	config.DataCentres[2].State = core.StateOut
	declared := threeDataCentres()
	declared.Revision = 0
	for i := range declared.DataCentres {
		declared.DataCentres[i].State = ""
	}
	for i := range declared.Targets {
		declared.Targets[i].State, declared.Targets[i].Version = "", ""
	}
	declared.Models[0].Version = ""
	_, err := Compute(config, Intent{Kind: ApplyDeclarations, Declarations: declared}, Load{})
	refusal := &Refusal{}
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, NothingToChange, refusal.Reason)
}

func TestDigestsAreNotShown(t *testing.T) {
	config := threeDataCentres()
	config.Teams = []core.Team{{ID: "t", KeySHA256: []string{"one"}}}
	changed := clone(config)
	changed.Teams = []core.Team{{ID: "t", KeySHA256: []string{"two"}}}
	require.Equal(t, []Step{{Action: Change, Object: "team", ID: "t", Field: "key_sha256"}}, Difference(config, changed))
}

func TestHistoryIsBounded(t *testing.T) {
	config := threeDataCentres()
	for i := range maxPlanHistory + 5 {
		kind := []Kind{Drain, Undrain}[i%2]
		p, err := Compute(config, Intent{Kind: kind, Targets: []core.TargetID{"a-1"}}, Load{})
		require.NoError(t, err)
		config, err = Apply(config, p)
		require.NoError(t, err)
		require.Equal(t, p.ID, config.Plans[len(config.Plans)-1])
	}
	require.Len(t, config.Plans, maxPlanHistory)
}

func TestIdentityDependsOnBaseAndEveryField(t *testing.T) {
	seen := map[core.PlanID]bool{}
	intents := []Intent{
		{Kind: Drain, Targets: []core.TargetID{"a", "b"}}, {Kind: Drain, Targets: []core.TargetID{"ab"}}, {Kind: Drain, Targets: []core.TargetID{"a"}},
		{Kind: TakeOut, DataCentre: "a"}, {Kind: TakeOut, DataCentre: "a", AcceptOverload: true}, {Kind: TakeOut, DataCentre: "a", AcceptUnserved: true},
		{Kind: BringIn, Model: "a", Version: "b"}, {Kind: BringIn, Model: "ab"}, {Kind: BringIn, WeightBytes: 3},
		{Kind: ApplyDeclarations, Declarations: threeDataCentres()}, {Kind: ApplyDeclarations, Declarations: &core.Config{}},
	}
	for _, intent := range intents {
		for _, base := range []core.Revision{1, 2} {
			id := Identity(base, intent)
			require.False(t, seen[id])
			seen[id] = true
		}
	}
	absent, empty := Intent{Kind: Drain}, Intent{Kind: Drain, Targets: []core.TargetID{}}
	require.Equal(t, Identity(1, absent), Identity(1, empty))
}
