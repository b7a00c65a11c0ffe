package plan

import (
	"siskintide.example/siskintide/internal/core"
)

// check refuses a change that would violate a guarantee.
func check(before, after *core.Catalog, pools []PoolLoad, intent Intent) error {
	if err := checkWeights(after); err != nil {
		return err
	}
	if err := checkRemoved(before, after); err != nil {
		return err
	}
	for _, pool := range pools {
		if err := checkPool(pool, intent); err != nil {
			return err
		}
	}
	return nil
}

// checkWeights refuses a target whose kind cannot hold the weights of its model.
func checkWeights(after *core.Catalog) error {
	for _, target := range after.Config.Targets {
		model, kind := after.Model(target.Model), after.Kind(target.Kind)
		if model == nil || kind == nil || model.WeightBytes <= kind.WeightBytes {
			continue
		}
		return refuse(WeightsTooLarge, "the weights of %s %s have %d bytes, but target %s of kind %s holds at most %d",
			model.ID, model.Version, model.WeightBytes, target.ID, kind.ID, kind.WeightBytes)
	}
	return nil
}

// checkRemoved refuses to remove a target that still takes work, because its streams would
// be cut off instead of ending normally.
func checkRemoved(before, after *core.Catalog) error {
	for _, target := range before.Config.Targets {
		if after.Target(target.ID) == nil && before.Accepts(target.ID) {
			return refuse(StillTakingWork, "target %s still takes work; drain it before it is removed", target.ID)
		}
	}
	return nil
}

func checkPool(pool PoolLoad, intent Intent) error {
	unserved := pool.TargetsBefore > 0 && pool.TargetsAfter == 0
	if unserved && (intent.AcceptUnserved || removedPool(pool, intent)) {
		return nil
	}
	if unserved {
		return refuse(LastOfPool, "%s would be left without any target that takes work", pool.Pool)
	}
	if intent.AcceptOverload || !pool.shrinks() || !pool.overloaded() {
		return nil
	}
	return refuse(Overload, "%s: %d streams and %d tokens of memory would come onto %d targets with warm bounds of %d streams and %d tokens",
		pool.Pool, pool.Streams, pool.Memory, pool.TargetsAfter, pool.WarmStreamsAfter, pool.MemoryTokensAfter)
}

// removedPool reports whether declarations remove the pool's model or service.
func removedPool(pool PoolLoad, intent Intent) bool {
	if intent.Kind != ApplyDeclarations {
		return false
	}
	for _, model := range intent.Declarations.Models {
		if core.ModelPool(model.ID) == pool.Pool {
			return false
		}
	}
	for _, service := range intent.Declarations.Services {
		if core.ServicePool(service.ID) == pool.Pool {
			return false
		}
	}
	return true
}
