package plan

import (
	"cmp"
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// targetEffects lists the targets whose work changes.
func targetEffects(before, after *core.Catalog, load map[core.TargetID]TargetLoad) []TargetEffect {
	effects := []TargetEffect{}
	add := func(target core.Target, kind TargetEffectKind) {
		known, ok := load[target.ID]
		effects = append(effects, TargetEffect{
			Target: target.ID, DataCentre: target.DataCentre, Kind: kind, Streams: known.Streams, StreamsKnown: ok,
		})
	}
	for _, target := range after.Config.Targets {
		old := before.Target(target.ID)
		was, is := before.Accepts(target.ID), after.Accepts(target.ID)
		if was && !is {
			add(target, StopsTakingWork)
		}
		if !was && is {
			add(target, StartsTakingWork)
		}
		if old != nil && old.Version != target.Version && target.Model != "" {
			add(target, LoadsVersion)
		}
	}
	for _, target := range before.Config.Targets {
		if after.Target(target.ID) == nil {
			add(target, StopsTakingWork)
		}
	}
	return effects
}

// hostEffects counts the hosts of each data centre and lists the unreachable ones.
func hostEffects(hosts []HostLoad) []HostEffect {
	byCentre := map[core.DataCentreID]*HostEffect{}
	order := []core.DataCentreID{}
	for _, host := range hosts {
		effect := byCentre[host.DataCentre]
		if effect == nil {
			effect = &HostEffect{DataCentre: host.DataCentre}
			byCentre[host.DataCentre] = effect
			order = append(order, host.DataCentre)
		}
		effect.Hosts++
		if !host.Reachable {
			effect.Unreachable = append(effect.Unreachable, host.Host)
		}
	}
	slices.Sort(order)
	effects := make([]HostEffect, 0, len(order))
	for _, id := range order {
		effects = append(effects, *byCentre[id])
	}
	return effects
}

// poolLoads returns the load of every pool that has targets before or after the plan.
func poolLoads(before, after *core.Catalog, load map[core.TargetID]TargetLoad) []PoolLoad {
	pools := map[core.PoolID]*PoolLoad{}
	for _, target := range before.Config.Targets {
		addBefore(poolOf(pools, target.Pool()), before, target, load)
	}
	for _, target := range after.Config.Targets {
		addAfter(poolOf(pools, target.Pool()), after, target, load)
	}
	loads := make([]PoolLoad, 0, len(pools))
	for _, pool := range pools {
		loads = append(loads, *pool)
	}
	slices.SortFunc(loads, func(a, b PoolLoad) int { return cmp.Compare(a.Pool, b.Pool) })
	return loads
}

func poolOf(pools map[core.PoolID]*PoolLoad, id core.PoolID) *PoolLoad {
	if pools[id] == nil {
		pools[id] = &PoolLoad{Pool: id}
	}
	return pools[id]
}

func addBefore(pool *PoolLoad, before *core.Catalog, target core.Target, load map[core.TargetID]TargetLoad) {
	known, ok := load[target.ID]
	if ok {
		pool.Streams += known.Streams
		pool.Memory += max(known.Memory, known.Forecast)
	}
	kind := before.Kind(target.Kind)
	if kind == nil || !before.Accepts(target.ID) {
		return
	}
	if !ok {
		pool.UnknownTargets++
	}
	pool.TargetsBefore++
	pool.WarmStreamsBefore += kind.WarmStreams
	pool.MemoryTokensBefore += kind.MemoryTokens
}

func addAfter(pool *PoolLoad, after *core.Catalog, target core.Target, load map[core.TargetID]TargetLoad) {
	kind := after.Kind(target.Kind)
	if kind == nil || !after.Accepts(target.ID) {
		return
	}
	pool.TargetsAfter++
	pool.WarmStreamsAfter += kind.WarmStreams
	pool.MemoryTokensAfter += kind.MemoryTokens
	limit := kind.ColdStreams
	if known, ok := load[target.ID]; ok && known.Limit > 0 {
		limit = known.Limit
	}
	pool.StreamLimitAfter += limit
}
