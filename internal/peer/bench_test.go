package peer

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLink sends one message at a time, as at low message rates, and reports the CPU
// time of both ends together.
func BenchmarkLink(b *testing.B) {
	x := startEndpoint(b, "x", nil)
	y := startEndpoint(b, "y", nil)
	x.SetPeers([]core.Host{y.host})
	receive(b, x.changes)
	receive(b, y.changes)
	m := requestMessages()["request"]
	before := cpuTime(b)
	for b.Loop() {
		require.True(b, x.Send("y", m))
		receive(b, y.received)
	}
	b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/message")
}
