package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/decide/routetable"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// TestFailureResponsesAreDroppedAtTheHead guards against the responses of engines that failed or refused, which take
// the memory for all responses for as long as the stream of another engine runs.
func TestFailureResponsesAreDroppedAtTheHead(t *testing.T) {
	s := newTestRelay(&placingController{view: &edgecontrol.View{Table: &routetable.Table{Config: &core.RoutingConfig{}}}})
	share := newBufferShare(&s.gateway.buffers)
	require.NoError(t, share.grow(1<<20))
	s.fallback = &bufferedResponse{status: http.StatusInternalServerError, body: make([]byte, 1<<20), share: share, memory: s.gateway.options.Memory.Share(callerbudget.Answer, "")}
	s.responses = append(s.responses, s.fallback)
	require.Positive(t, s.gateway.buffers.used.Load())
	require.False(t, s.handleMessage(upstreamMessage{kind: upstreamOpened}))
	require.True(t, s.headerSent)
	require.Zero(t, s.gateway.buffers.used.Load())
	s.releaseMemory()
	require.Zero(t, s.gateway.buffers.used.Load(), "returned once")
}
