package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// queuedLines bounds the lines that wait for a slow reader.
	queuedLines = 1024
	// linesPerSecond bounds the volume under load; a host serves some ten requests a second,
	// each with a few lines.
	linesPerSecond = 250
	// reportPeriod is the time between two lines that say how many were left out.
	reportPeriod = time.Second
)

// Sink is a writer of lines that never waits. Write is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	clock   clockwork.Clock
	second  atomic.Int64 // that written counts for
	written atomic.Int64
	left    atomic.Int64 // lines left out and not reported yet
}

// NewSink returns a sink. Run writes its lines.
func NewSink(clock clockwork.Clock) *Sink {
	return &Sink{lines: make(chan []byte, queuedLines), clock: clock}
}

// Write implements io.Writer for one whole line. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if now := s.clock.Now().Unix(); s.second.Swap(now) != now {
		s.written.Store(0)
	}
	if s.written.Add(1) > linesPerSecond {
		s.left.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.left.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, and then those that are still queued.
func (s *Sink) Run(ctx context.Context, out io.Writer) {
	ticker := s.clock.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.put(out, line)
		case <-ticker.Chan():
			s.report(out)
		case <-ctx.Done():
			s.drain(out)
			return
		}
	}
}

func (s *Sink) drain(out io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.put(out, line)
		default:
			s.report(out)
			return
		}
	}
}

// report tells how many lines were left out since the last report.
func (s *Sink) report(out io.Writer) {
	if left := s.left.Swap(0); left > 0 {
		s.put(out, fmt.Appendf(nil, `{"fields":{"lines":%d},"level":"warn","message":"log lines left out"}`+"\n", left))
	}
}

// put writes one line; one that cannot be written is counted as left out.
func (s *Sink) put(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		s.left.Add(1)
	}
}
