package weights

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

func TestClaim(t *testing.T) {
	declared := []core.TargetID{"e1", "e2"}
	claim := Claim{Target: "e1", Fence: 5, Declared: declared}
	for name, c := range map[string]struct {
		current          Slot
		acquire, release bool
	}{
		"free":                      {Slot{}, true, false},
		"held by another target":    {Slot{Target: "e2", Fence: 9}, false, false},
		"held by a removed target":  {Slot{Target: "e9", Fence: 9}, true, false},
		"held under a former fence": {Slot{Target: "e1", Fence: 4}, true, true},
		"held already":              {Slot{Target: "e1", Fence: 5}, true, true},
		"held by a later owner":     {Slot{Target: "e1", Fence: 6}, false, false},
	} {
		_, acquired := claim.Acquire(c.current)
		require.Equal(t, c.acquire, acquired, name)
		require.Equal(t, c.release, claim.CanRelease(c.current), name)
	}
}

// TestOneHolder checks that, in whatever order owners acquire and release the slot, it
// passes from one declared target to another only after its holder has released it.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := []core.TargetID{"e1", "e2", "e3"}
		var slot Slot
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			claim := Claim{
				Target:   rapid.SampledFrom(declared).Draw(t, "target"),
				Fence:    core.Fence(rapid.Uint64Range(1, 4).Draw(t, "fence")),
				Declared: declared,
			}
			before := slot
			if rapid.Bool().Draw(t, "release") {
				if claim.CanRelease(slot) {
					require.Equal(t, before.Target, claim.Target)
					slot = Slot{}
				}
				continue
			}
			next, ok := claim.Acquire(slot)
			if ok {
				slot = next
				require.Equal(t, claim.Target, slot.Target)
			}
			if before.Target != "" {
				require.Equal(t, before.Target, slot.Target, "a held slot changed its target")
				require.GreaterOrEqual(t, slot.Fence, before.Fence)
			}
		}
	})
}
