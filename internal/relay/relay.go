package relay

import (
	"context"
	"time"
)

const (
	// checkInterval is how often a stream is checked for silence.
	checkInterval = 2500 * time.Millisecond
	// keepAliveChecks is the number of silent checks after which the caller is shown that
	// the stream lives: 10 s, which keeps intermediaries from closing it.
	keepAliveChecks = 4
	// stallChecks is the number of silent checks after which a running stream counts as
	// stalled: 5 s, many times the longest token gap of a target in order.
	stallChecks = 2
	// firstTokenChecks is the same before the first token: 20 s, because a crowded engine
	// may let a request wait.
	firstTokenChecks = 8
	// cancelTimeout bounds a cancellation at an engine that may be dead.
	cancelTimeout = 2 * time.Second
	// endMarkerWait is how long a finished connection may take to end by itself, so that
	// it can be used again.
	endMarkerWait = 250 * time.Millisecond
	// stallThreshold is the token gap above which a stream counts as stalled.
	stallThreshold = time.Second
	// queueSlack is how much longer than the queue budget a ticket is waited for, so that
	// the owner's own refusal comes first.
	queueSlack = 5 * time.Second
	// inboxFrames bounds the frames that wait for a slow caller.
	inboxFrames = 4
	// acquireTries bounds the tickets taken for one attempt when they lapse unused.
	acquireTries = 3
)

// Relay carries generations to callers. It is safe for concurrent use.
type Relay struct {
	options Options
}

// New returns a relay.
func New(options Options) *Relay { return &Relay{options: options} }

// Run carries one job to its end, or until the context ends because the caller has left.
// It returns when every ticket is closed and every goroutine of the job has ended.
func (r *Relay) Run(ctx context.Context, job *StreamRequest, sink Sink) {
	newSession(r, job, sink).run(ctx)
}
