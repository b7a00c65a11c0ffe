package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// TestOverlapEndsUnsoundEngine guards against a sound engine that is left for one that does not respond, and against two
// engines that work on one generation for longer than the overlap.
func TestOverlapEndsUnsoundEngine(t *testing.T) {
	event := &upstreamMessage{kind: upstreamEvent}
	for name, c := range map[string]struct {
		canMove bool
		held    *upstreamMessage
		returns bool
	}{
		"sends events":                     {true, event, true},
		"has ended its stream":             {true, &upstreamMessage{kind: upstreamEnded, marked: true}, true},
		"silent":                           {true, nil, false},
		"broken off":                       {true, &upstreamMessage{kind: upstreamFailed, err: io.ErrUnexpectedEOF}, false},
		"next engine could not be stopped": {false, event, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestRelay(&placingController{view: &edgecontrol.View{}})
			s.spec = &core.PoolSpec{Engine: &core.EngineSpec{Moves: c.canMove}}
			s.failover = failover.New(s.timing(), c.canMove, true, 0)
			s.failover.RecordEvent(0)
			s.failover.RecordLeaving(0)
			current, next := s.current, newTestUpstream("copy")
			require.Equal(t, failover.SwitchToCopy, s.failover.Next(time.Second).Kind)
			s.next, s.held = next, c.held
			s.endOverlap()
			require.Equal(t, c.returns, next.stopped)
			require.Equal(t, !c.returns, current.stopped)
			if c.returns {
				require.Nil(t, s.next)
				require.Equal(t, failover.StopFailedSwitch, s.failover.Next(time.Second).Kind, "it may run the request")
			} else {
				require.Equal(t, next, s.next)
			}
		})
	}
}
