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
	// maxQueuedLines bounds the lines that are queued while the output is slow.
	maxQueuedLines = 1024
	// linesPerSecond bounds the volume under load; a host serves some ten requests a second,
	// each with a few lines.
	linesPerSecond = 250
	// reportInterval is the interval at which dropped lines are reported.
	reportInterval = time.Second
)

// Sink queues log lines and writes them from Run. Write does not block and is safe for
// concurrent use.
type Sink struct {
	lines   chan []byte
	clock   clockwork.Clock
	second  atomic.Int64 // Unix second to which written refers
	written atomic.Int64 // calls of Write in that second
	dropped atomic.Int64 // lines dropped since the last report
}

// NewSink returns a sink. Its lines are written by Run.
func NewSink(clock clockwork.Clock) *Sink {
	return &Sink{lines: make(chan []byte, maxQueuedLines), clock: clock}
}

// Write implements io.Writer for one complete line. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	if now := s.clock.Now().Unix(); s.second.Swap(now) != now {
		s.written.Store(0)
	}
	if s.written.Add(1) > linesPerSecond {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, then writes the lines that are still queued.
func (s *Sink) Run(ctx context.Context, out io.Writer) {
	ticker := s.clock.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.writeLine(out, line)
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
			s.writeLine(out, line)
		default:
			s.report(out)
			return
		}
	}
}

// report writes how many lines were dropped since the last report, if any.
func (s *Sink) report(out io.Writer) {
	if dropped := s.dropped.Swap(0); dropped > 0 {
		s.writeLine(out, fmt.Appendf(nil, `{"fields":{"lines":%d},"level":"warn","message":"log lines left out"}`+"\n", dropped))
	}
}

// writeLine writes one line and counts it as dropped if that fails.
func (s *Sink) writeLine(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}
