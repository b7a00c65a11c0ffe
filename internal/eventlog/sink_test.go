package eventlog

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	sink := NewSink(clockwork.NewFakeClock())
	for range linesPerSecond + 7 {
		n, err := sink.Write([]byte("{}\n"))
		require.NoError(t, err)
		require.Equal(t, 3, n)
	}
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sink.Run(ctx, &out)
	require.Equal(t, linesPerSecond, strings.Count(out.String(), "{}\n"))
	require.Contains(t, out.String(), `"lines":7`)
}

func TestWriteDoesNotBlockWithoutRun(t *testing.T) {
	clock := clockwork.NewFakeClock()
	sink := NewSink(clock)
	for range 2 * maxQueuedLines / linesPerSecond * linesPerSecond {
		_, err := sink.Write([]byte("{}\n"))
		require.NoError(t, err)
		clock.Advance(reportInterval)
	}
	require.Len(t, sink.lines, maxQueuedLines)
}
