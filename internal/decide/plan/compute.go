package plan

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// Compute returns the plan for an intent on the current configuration. The error is a
// *Refusal.
func Compute(current *core.Config, intent Intent, load Load) (*Plan, error) {
	proposed, err := propose(current, intent, load)
	if refusal, ok := err.(*Refusal); ok {
		refusal.Nearest = nearest(current, intent, load, refusal.Reason)
		return nil, refusal
	}
	return proposed, err
}

// propose computes a plan. Unlike Compute, it adds no nearest alternative to a refusal.
func propose(current *core.Config, intent Intent, load Load) (*Plan, error) {
	next, err := applyIntent(current, intent)
	if err != nil {
		return nil, err
	}
	p := &Plan{ID: Identity(current.Revision, intent), Base: current.Revision, Intent: intent}
	p.Steps = steps(current, next)
	if len(p.Steps) == 0 {
		return nil, refuse(NothingToChange, "%s: the accepted configuration, revision %d, is already so", intent.describe(), current.Revision)
	}
	before, after := core.NewCatalog(current), core.NewCatalog(next)
	known := load.byTarget()
	p.Targets = targetEffects(before, after, known)
	p.Hosts = hostEffects(load.Hosts)
	pools := poolLoads(before, after, known)
	if err := check(before, after, pools, intent); err != nil {
		return nil, err
	}
	p.Pools = changedPools(pools, before, after, p.Targets)
	p.Warnings = warnings(p)
	return p, nil
}

// changedPools returns the pools that a plan affects.
func changedPools(pools []PoolLoad, before, after *core.Catalog, effects []TargetEffect) []PoolLoad {
	affected := map[core.PoolID]bool{}
	for _, effect := range effects {
		for _, catalog := range []*core.Catalog{before, after} {
			if target := catalog.Target(effect.Target); target != nil {
				affected[target.Pool()] = true
			}
		}
	}
	kept := []PoolLoad{}
	for _, pool := range pools {
		if affected[pool.Pool] || pool.shrinks() {
			kept = append(kept, pool)
		}
	}
	return kept
}

func warnings(p *Plan) []Warning {
	all := []Warning{}
	warn := func(kind WarningKind, format string, args ...any) {
		all = append(all, Warning{Kind: kind, Detail: fmt.Sprintf(format, args...)})
	}
	for _, hosts := range p.Hosts {
		if len(hosts.Unreachable) > 0 {
			warn(WarnUnreachable, "not yet in force at %s: %d of %d hosts cannot be reached: %v",
				hosts.DataCentre, len(hosts.Unreachable), hosts.Hosts, hosts.Unreachable)
		}
	}
	for _, pool := range p.Pools {
		warnPool(pool, warn)
	}
	reloads := 0
	for _, effect := range p.Targets {
		if effect.Kind == LoadsVersion {
			reloads++
		}
	}
	if reloads > 0 {
		warn(WarnReload, "%d targets load weights one after another and start again from their cold floors", reloads)
	}
	return all
}

func warnPool(pool PoolLoad, warn func(WarningKind, string, ...any)) {
	if pool.UnknownTargets > 0 {
		warn(WarnUnknownLoad, "%s: the load of %d targets is not known and not counted", pool.Pool, pool.UnknownTargets)
	}
	if !pool.shrinks() {
		return
	}
	if pool.TargetsAfter == 0 {
		warn(WarnUnserved, "%s: no target takes work; callers are refused", pool.Pool)
		return
	}
	if pool.overloaded() {
		warn(WarnOverload, "%s: %d streams and %d tokens of memory on bounds of %d and %d",
			pool.Pool, pool.Streams, pool.Memory, pool.WarmStreamsAfter, pool.MemoryTokensAfter)
		return
	}
	if pool.Streams > pool.StreamLimitAfter {
		warn(WarnWarming, "%s: %d streams, but what remains bears %d until it is warm",
			pool.Pool, pool.Streams, pool.StreamLimitAfter)
	}
}
