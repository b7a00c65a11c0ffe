package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/recovery"
)

// upstream is the exchange with one target that generates a stream. Its goroutine reads
// events and sends them over an unbuffered channel, so that it stops reading while nobody
// receives.
type upstream struct {
	assignment edgecontrol.Assignment
	messages   chan upstreamMessage
	cancel     context.CancelFunc
	header     http.Header // of the response; set before upstreamOpened is sent
	sentAt     time.Duration
	counted    bool          // the attempt has been counted as sent, and as a run if it may be one
	stopped    bool          // the relay has closed the exchange, and receives no message any more
	unsound    bool          // the stream was not sound, so the generation's memory may not be either
	done       chan struct{} // closed after the connection
}

// startUpstream starts a goroutine that sends the request and reads the response.
func (h *requestHandler) startUpstream(ctx context.Context, assignment edgecontrol.Assignment, attempt Attempt) *upstream {
	ctx, cancel := context.WithCancel(ctx)
	u := &upstream{assignment: assignment, messages: make(chan upstreamMessage), cancel: cancel, sentAt: h.now(), done: make(chan struct{})}
	go func() {
		defer close(u.done)
		defer cancel()
		err := recovery.Run(func() error { u.run(ctx, h, attempt); return nil })
		if err != nil {
			h.log.WithError(err).Error("engine's response could not be handled")
			u.send(ctx, upstreamMessage{kind: upstreamFailed, err: err})
		}
	}()
	return u
}

// send passes a message to the receiver. It returns false if the upstream was stopped.
func (u *upstream) send(ctx context.Context, message upstreamMessage) bool {
	select {
	case u.messages <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *upstream) run(ctx context.Context, h *requestHandler, attempt Attempt) {
	address := u.assignment.Target.Address
	x, err := open(ctx, address, h.newAttemptRequest(ctx, address, attempt), h.gateway.options.Memory)
	if err != nil {
		probeTarget(ctx, err)
		u.send(ctx, upstreamMessage{kind: upstreamFailed, err: err})
		return
	}
	defer x.close()
	info := h.gateway.options.Codec.DecodeResponse(x.response.StatusCode, x.response.Header)
	if err := h.checkOwner(x.response.StatusCode, info); err != nil {
		u.send(ctx, upstreamMessage{kind: upstreamFailed, err: err})
		return
	}
	if x.response.StatusCode != http.StatusOK {
		response, err := x.readResponse(info, &h.gateway.buffers)
		if err != nil {
			u.send(ctx, upstreamMessage{kind: upstreamFailed, err: err})
			return
		}
		if !u.send(ctx, upstreamMessage{kind: upstreamOpened, info: info, response: response}) {
			response.release()
		}
		return
	}
	u.header = forwardedHeader(x.response.Header)
	if u.send(ctx, upstreamMessage{kind: upstreamOpened, info: info}) {
		u.readEvents(ctx, x, h, attempt.ResumeFrom != nil || attempt.LastEventID != "")
	}
}

// readEvents sends the events of the response. resumed reports whether the generation has begun at another
// target, or the caller has its first events, so that it may end without a further event.
func (u *upstream) readEvents(ctx context.Context, x *exchange, h *requestHandler, resumed bool) {
	events := newEventReader(x.response.Body, &h.gateway.buffers)
	defer events.close()
	begun := resumed
	var firstEventAt time.Duration
	for {
		event, err := events.next()
		if err != nil {
			early := firstEventAt == 0 || h.now()-firstEventAt < soundTime
			u.sendEnd(ctx, x, event, err, begun, early)
			return
		}
		if !u.send(ctx, upstreamMessage{kind: upstreamEvent, event: event}) {
			return
		}
		if firstEventAt == 0 {
			firstEventAt = h.now()
		}
		begun = true
	}
}

// sendEnd sends the end of the response, or its failure. rest is what came after the last complete event. early
// reports whether the engine may have crashed as it began to respond.
func (u *upstream) sendEnd(ctx context.Context, x *exchange, rest streamEvent, err error, begun, early bool) {
	if errors.Is(err, io.EOF) {
		err = u.endError(ctx, x, rest, begun)
	} else {
		err = &ExchangeError{Address: x.address, Phase: phaseStream, Cause: err}
	}
	if err != nil {
		if early {
			probeTarget(ctx, err)
		}
		u.send(ctx, upstreamMessage{kind: upstreamFailed, err: err})
		return
	}
	if len(rest.bytes) == 0 || u.send(ctx, upstreamMessage{kind: upstreamEvent, event: rest}) {
		u.send(ctx, upstreamMessage{kind: upstreamEnded, marked: !x.endsWithConnection()})
	}
}

// endError returns an error if the end of the response is not that of a complete generation. A response that
// ends within an event, or before the first one, is not, however its end is marked. One whose end is not marked
// is not either if the target is gone: its connections end with it.
func (u *upstream) endError(ctx context.Context, x *exchange, rest streamEvent, begun bool) error {
	complete := begun && !rest.startsEvent() || x.response.Request.Method == http.MethodHead
	if complete && x.endsWithConnection() {
		complete = !refusesConnections(ctx, x.address)
	}
	switch {
	case complete:
		return nil
	case x.endsWithConnection(): // as after a crash
		return &ExchangeError{Address: x.address, Phase: phaseStream, Cause: io.ErrUnexpectedEOF}
	default:
		return &TruncatedStreamError{Address: x.address, Rest: len(rest.bytes)}
	}
}

// stop closes the exchange. Most targets then cancel the generation.
func (u *upstream) stop() {
	u.stopped = true
	u.cancel()
}

// stopAndWait closes the exchange, and returns once its connection is closed. The end of the context ends all that
// the exchange waits for.
func (u *upstream) stopAndWait() {
	u.stop()
	<-u.done
}
