package relay

import (
	"context"
	"time"
)

const (
	// silenceCheckInterval is how often a stream is checked for silence.
	silenceCheckInterval = 2500 * time.Millisecond
	// keepAliveChecks is the number of silent checks after which a keep-alive is sent to the
	// caller: 10 s, which keeps intermediaries from closing the connection.
	keepAliveChecks = 4
	// stallChecks is the number of silent checks after which a running stream counts as
	// stalled: 5 s, many times the longest token gap of a healthy target.
	stallChecks = 2
	// firstTokenChecks is the same before the first token: 20 s, because an overloaded engine
	// may queue a request.
	firstTokenChecks = 8
	// cancelTimeout bounds a cancellation at an engine that may be dead.
	cancelTimeout = 2 * time.Second
	// endMarkerWait is how long a finished session waits for its connections to end by
	// themselves, so that they can be reused.
	endMarkerWait = 250 * time.Millisecond
	// stallThreshold is the token gap above which the excess counts as stall time in the
	// metrics.
	stallThreshold = time.Second
	// queueSlack is added to the queue budget when waiting for a ticket, so that the owner's
	// refusal arrives before the wait ends.
	queueSlack = 5 * time.Second
	// inboxSize bounds the reports, and thereby the frames, that are buffered for a slow
	// caller.
	inboxSize = 4
	// maxAcquireAttempts bounds the tickets acquired for one attempt while they expire unused.
	maxAcquireAttempts = 3
)

// Relay streams generations from engines to callers. It is safe for concurrent use.
type Relay struct {
	options Options
}

// New returns a relay.
func New(options Options) *Relay { return &Relay{options: options} }

// Run serves one request until its stream ends, or the context ends because the caller has
// disconnected. It returns when every ticket is closed and every goroutine of the request
// has ended.
func (r *Relay) Run(ctx context.Context, request *StreamRequest, sink Sink) {
	newSession(r, request, sink).run(ctx)
}
