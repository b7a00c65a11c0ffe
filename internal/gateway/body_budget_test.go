package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBodyBudgetShrinks guards against a smaller size that takes effect only at the next start, that drops what is held, or that
// admits bodies before enough was returned.
func TestBodyBudgetShrinks(t *testing.T) {
	b := newBodyBudget(100)
	require.True(t, b.TryAcquire(60))
	require.True(t, b.TryAcquire(30))
	b.resize(50)
	require.Eventually(t, func() bool { return !b.TryAcquire(0) }, 20*time.Second, time.Millisecond, "the reduction waits")
	require.False(t, b.TryAcquire(1))
	b.Release(30)
	require.False(t, b.TryAcquire(1), "60 of 50 are held")
	b.Release(60)
	require.NoError(t, b.Acquire(context.Background(), 50))
	require.False(t, b.TryAcquire(1))
	b.Release(50)
	var tooLarge *TooLargeError
	require.ErrorAs(t, b.Acquire(context.Background(), 51), &tooLarge)
}

// TestBodyBudgetGrows guards against a larger size that waits for bodies to end, also while a reduction is under way, and
// against bytes that are lost between.
func TestBodyBudgetGrows(t *testing.T) {
	b := newBodyBudget(100)
	require.True(t, b.TryAcquire(100))
	for range 10 {
		b.resize(10)
		b.resize(150)
		require.True(t, b.TryAcquire(50))
		require.False(t, b.TryAcquire(1))
		b.Release(50)
	}
	b.resize(100)
	b.Release(100)
	require.True(t, b.TryAcquire(100))
	require.False(t, b.TryAcquire(1))
}
