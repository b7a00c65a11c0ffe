package peer

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLink sends single messages one after the other, as they go at low rates, and
// reports the processor time of both ends together.
func BenchmarkLink(b *testing.B) {
	x := start(b, "x", nil)
	y := start(b, "y", nil)
	x.SetPeers([]core.Host{y.host})
	take(b, x.changes)
	take(b, y.changes)
	m := requestMessages()["demand"]
	before := cpuTime(b)
	for b.Loop() {
		require.True(b, x.Send("y", m))
		take(b, y.received)
	}
	b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/message")
}
