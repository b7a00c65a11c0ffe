package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// countingMover counts the moves that it is asked for, and refuses them.
type countingMover struct{ moves int }

func (m *countingMover) Move(context.Context, string, string, string, bool) (KVHandle, error) {
	m.moves++
	return KVHandle{}, &MoveRefusedError{NoRun: true}
}

func (m *countingMover) Free(context.Context, string, string) error { return nil }

// TestReturnEndsStopOfLeftRun guards against a run that is stopped by the request to stop an earlier run at the same
// engine, which the stream has left and to which it returns.
func TestReturnEndsStopOfLeftRun(t *testing.T) {
	for returns, want := range map[bool]int{false: 1, true: 0} {
		s := newTestRelay(&placingController{view: &edgecontrol.View{}})
		mover := &countingMover{}
		s.gateway.options.Mover, s.gateway.options.Clock = mover, boottime.Now
		ctx, cancel := context.WithCancel(t.Context())
		s.left = append(s.left, leftRun{target: "first", cancel: cancel})
		s.returnTo("other")
		if returns {
			s.returnTo("first")
		}
		run := failover.NewLeftRun(boottime.Now()+closeGrace, true, 0, boottime.Now()+time.Minute)
		s.stopLeftRun(ctx, run, placement.Candidate{Target: "first", Address: "127.0.0.1:1"}, "127.0.0.1:2")
		require.Equal(t, want, mover.moves)
	}
}
