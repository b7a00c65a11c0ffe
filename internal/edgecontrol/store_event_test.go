package edgecontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallSentBeforeAFailureProvesNothing guards against retries that begin too early: when the store becomes
// unavailable, a call that it has held responds later than the first failures, and must not make all tables be read
// again.
func TestCallSentBeforeAFailureProvesNothing(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(2))
	failedAt := h.clock
	storeEvent{up: false, sentAt: failedAt}.apply(h.state)
	h.clock += 50 * time.Millisecond
	storeEvent{up: true, sentAt: failedAt - 250*time.Millisecond}.apply(h.state)
	require.True(t, h.view.StoreUnavailable, "held call that was sent before the failure")

	storeEvent{up: false, sentAt: failedAt - 100*time.Millisecond}.apply(h.state)
	storeEvent{up: true, sentAt: failedAt - 50*time.Millisecond}.apply(h.state)
	require.True(t, h.view.StoreUnavailable, "failures are recorded out of order")

	storeEvent{up: true, sentAt: failedAt + time.Millisecond}.apply(h.state)
	require.False(t, h.view.StoreUnavailable, "call that was sent after the failure")
}
