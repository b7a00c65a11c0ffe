package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"siskintide.example/siskintide/internal/edgecontrol"
)

// source is one target's run of a stream: a goroutine reads it and hands over signals one
// by one, so that a source that nobody listens to stands still.
type source struct {
	use     edgecontrol.Assignment
	signals chan signal
	cancel  context.CancelFunc
	header  http.Header // of the answer, once opened
}

// startSource sends the request and starts reading.
func (j *job) startSource(ctx context.Context, use edgecontrol.Assignment, send Attempt) *source {
	ctx, cancel := context.WithCancel(ctx)
	s := &source{use: use, signals: make(chan signal), cancel: cancel}
	go func() {
		defer cancel()
		s.run(ctx, j, send)
	}()
	return s
}

// tell hands over a signal. It is false if the source was stopped.
func (s *source) tell(ctx context.Context, told signal) bool {
	select {
	case s.signals <- told:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *source) run(ctx context.Context, j *job, send Attempt) {
	address := s.use.Target.Address
	x, err := open(ctx, address, j.outgoing(ctx, address, send))
	if err != nil {
		s.tell(ctx, signal{kind: sourceFailed, err: err})
		return
	}
	defer x.close()
	meta := j.gateway.options.Codec.DecodeResponse(x.response.StatusCode, x.response.Header)
	if meta.RequestID != "" && meta.RequestID != j.request.ID {
		s.tell(ctx, signal{kind: sourceFailed, err: &ForeignAnswerError{Want: j.request.ID, Got: meta.RequestID}})
		return
	}
	if x.response.StatusCode != http.StatusOK {
		whole, err := x.readWhole(meta)
		if err != nil && !meta.NotRun {
			s.tell(ctx, signal{kind: sourceFailed, err: err})
			return
		}
		if whole == nil {
			whole = &wholeAnswer{ResponseInfo: meta, status: x.response.StatusCode}
		}
		s.tell(ctx, signal{kind: sourceOpened, meta: meta, whole: whole})
		return
	}
	s.header = passedOn(x.response.Header)
	if s.tell(ctx, signal{kind: sourceOpened, meta: meta}) {
		s.readEvents(ctx, x)
	}
}

func (s *source) readEvents(ctx context.Context, x *exchange) {
	events := newEventReader(x.response.Body)
	for {
		event, err := events.next()
		if err != nil && !errors.Is(err, io.EOF) {
			s.tell(ctx, signal{kind: sourceFailed, err: &BrokenError{Address: x.address, Doing: "stream", Cause: err}})
			return
		}
		if len(event.bytes) > 0 && !s.tell(ctx, signal{kind: sourceEvent, event: event}) {
			return
		}
		if err != nil {
			s.tell(ctx, signal{kind: sourceEnded})
			return
		}
	}
}

// stop ends the source; its target drops the work.
func (s *source) stop() { s.cancel() }
