package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestNoProofBeforeTheFirstRead(t *testing.T) {
	require.False(t, Proof{}.Within(0, time.Hour))
}

// TestRevokedKeyIsNotServedBeyondTheBound checks that a host that has not read the
// revocation of a key does not serve the key later than the bound after the revocation, in
// whatever order responses arrive and however long the host is paused. A read that was
// sent after the revocation returns it.
func TestRevokedKeyIsNotServedBeyondTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 4 * time.Second
		revokedAt := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "revoked")) * time.Millisecond
		proof, revocationRead, now := Proof{}, false, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			if rapid.Bool().Draw(t, "answer") {
				sentAt := now - min(now, time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*time.Millisecond)
				proof = proof.Renew(sentAt)
				revocationRead = revocationRead || sentAt >= revokedAt
			}
			if !revocationRead && proof.Within(now, bound) {
				require.LessOrEqual(t, now, revokedAt+bound)
			}
		}
	})
}
