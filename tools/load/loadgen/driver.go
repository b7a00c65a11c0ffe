package loadgen

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"siskintide.example/siskintide/internal/engine"
)

// driver starts the requests of a run, reads their responses and sends one sample each.
type driver struct {
	options  Options
	workload *workload
	client   *http.Client
	engines  *engine.Client
	samples  chan *sample
	running  sync.WaitGroup
	slots    chan struct{} // semaphore of the closed loop; nil in the open loop
}

func newDriver(options Options) *driver {
	// Many concurrent streams go to a few addresses, so each address needs many idle connections.
	transport := &http.Transport{MaxIdleConnsPerHost: 1 << 12, DisableCompression: true}
	client := &http.Client{Transport: transport}
	d := &driver{
		options:  options,
		workload: newWorkload(options),
		client:   client,
		engines:  engine.NewClient(client),
		samples:  make(chan *sample, sampleBuffer),
	}
	if options.Concurrency > 0 {
		d.slots = make(chan struct{}, options.Concurrency)
	}
	return d
}

// run starts all requests, waits until they end and closes the samples channel. Requests
// that are still running after DrainTimeout are cancelled.
func (d *driver) run(ctx context.Context) {
	defer close(d.samples)
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.startRequests(ctx, requestCtx)
	drained := make(chan struct{})
	go func() {
		d.running.Wait()
		close(drained)
	}()
	drainTimer := time.NewTimer(d.options.DrainTimeout)
	defer drainTimer.Stop()
	select {
	case <-drained:
	case <-drainTimer.C:
		cancel()
		<-drained
	}
}

// startRequests starts requests until the count or the duration is reached or ctx ends. The
// requests themselves run under requestCtx.
func (d *driver) startRequests(ctx, requestCtx context.Context) {
	started := time.Now()
	dueAt := started
	for number := 0; d.options.Count == 0 || number < d.options.Count; number++ {
		if d.slots == nil {
			dueAt = dueAt.Add(d.workload.interarrival(number))
		}
		if !d.waitForNext(ctx, dueAt, started) {
			return
		}
		d.running.Add(1)
		go d.perform(requestCtx, d.workload.request(number))
	}
}

// waitForNext waits until the next request is due (open loop) or a slot is free (closed
// loop). It returns false when no further request may start.
func (d *driver) waitForNext(ctx context.Context, dueAt, started time.Time) bool {
	var ended <-chan time.Time
	if d.options.Duration > 0 {
		timer := time.NewTimer(time.Until(started.Add(d.options.Duration)))
		defer timer.Stop()
		ended = timer.C
	}
	if d.slots != nil {
		select {
		case d.slots <- struct{}{}:
			return true
		case <-ended:
		case <-ctx.Done():
		}
		return false
	}
	timer := time.NewTimer(time.Until(dueAt))
	defer timer.Stop()
	select {
	case <-timer.C:
		return d.options.Duration == 0 || dueAt.Sub(started) < d.options.Duration
	case <-ended:
	case <-ctx.Done():
	}
	return false
}

// perform sends one request, reads its response and sends its sample.
func (d *driver) perform(ctx context.Context, r request) {
	defer d.running.Done()
	s := &sample{caller: r.caller, started: time.Now()}
	s.err = d.readResponse(ctx, r, s)
	if s.err != nil && ctx.Err() != nil {
		s.err = &unfinishedError{err: s.err}
	}
	d.samples <- s
	if d.slots != nil {
		<-d.slots
	}
}

// readResponse reads one response into the sample. It returns nil if the response is
// complete.
func (d *driver) readResponse(ctx context.Context, r request, s *sample) error {
	checker, err := newChecker(d.options, r)
	if err != nil {
		return err
	}
	response, err := d.openSource(ctx, r)
	if err != nil {
		return err
	}
	defer response.close()
	if relayed, ok := response.(*relayedSource); ok {
		defer func() { s.resumed = relayed.resumed }()
	}
	last := s.started
	for {
		got, err := response.next()
		if err == io.EOF {
			return checker.checkEnd()
		}
		if err != nil {
			return err
		}
		now := time.Now()
		s.recordToken(now.Sub(last))
		last = now
		if err := checker.checkToken(got); err != nil {
			return err
		}
	}
}

// openSource sends a request to an address chosen round-robin by the request's number. The
// other addresses follow in order as fallbacks for resumption.
func (d *driver) openSource(ctx context.Context, r request) (source, error) {
	first := r.number % len(d.options.Addresses)
	if d.options.Direct {
		return openDirect(ctx, d.engines, d.options.Addresses[first], d.options, r)
	}
	var addresses []string
	addresses = append(addresses, d.options.Addresses[first:]...)
	addresses = append(addresses, d.options.Addresses[:first]...)
	relayed, err := openRelayed(ctx, d.client, addresses, d.options, r)
	if err != nil {
		return nil, err
	}
	return relayed, nil
}
