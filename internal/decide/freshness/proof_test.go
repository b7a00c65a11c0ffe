package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestNothingIsProvedBeforeTheFirstRead(t *testing.T) {
	require.False(t, Proof{}.Within(0, time.Hour))
}

// A key that was revoked at some moment is never served later than the bound after it,
// whatever the order in which answers of reads arrive and how long the host is frozen:
// the reads that prove freshness were sent before the revocation, or saw it.
func TestRevokedKeyIsNotServedBeyondTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 4 * time.Second
		revoked := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "revoked")) * time.Millisecond
		proof, seen, now := Proof{}, false, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			if rapid.Bool().Draw(t, "answer") {
				sent := now - min(now, time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*time.Millisecond)
				proof = proof.Renew(sent)
				seen = seen || sent >= revoked
			}
			if !seen && proof.Within(now, bound) {
				require.LessOrEqual(t, now, revoked+bound)
			}
		}
	})
}
