package callerlimit

import (
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// TestSlowBodiesGiveWay guards against callers that hold the memory with requests they do not complete, and
// against an abort while there is memory, or of a body that has just begun.
func TestSlowBodiesGiveWay(t *testing.T) {
	now := time.Duration(0)
	metrics := &testMetrics{counts: map[string]int{}}
	l := New(Options{
		Limits: callerbudget.Limits{Bytes: 1000, Connections: 10}, HeaderBytes: func() int64 { return testHeaderBytes }, Metrics: metrics,
		Log: &log.Logger{Handler: discard.New()}, Clock: func() time.Duration { return now }, EncodeRefusal: func(http.Header, float64) {},
	})
	var aborted []string
	read := func(name string) *Reading {
		return l.StartReading("a", func() { aborted = append(aborted, name) })
	}
	complete, first, second := read("complete"), read("first"), read("second")
	require.False(t, complete.End())
	share := l.Share(callerbudget.Body, "a")
	require.NoError(t, share.Grow(730))
	now = callerbudget.BodyPause
	third := read("third")
	require.NoError(t, share.Grow(50))
	require.Empty(t, aborted)
	require.Error(t, share.Grow(1))
	require.Equal(t, []string{"first"}, aborted)
	require.Error(t, share.Grow(1))
	require.Error(t, share.Grow(1))
	require.Equal(t, []string{"first", "second"}, aborted)
	require.True(t, first.End())
	require.True(t, second.End())
	require.False(t, third.End())
	share.Release()
	require.Equal(t, 2, metrics.count(reasonSlowBody))
}

// TestNilLimiter guards against a gateway without limits that fails.
func TestNilLimiter(t *testing.T) {
	var l *Limiter
	share := l.Share(callerbudget.Body, "a")
	require.NoError(t, share.Grow(1<<40))
	share.Release()
	l.Relieve()
	require.False(t, l.StartReading("a", nil).End())
}
