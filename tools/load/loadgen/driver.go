package loadgen

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"siskintide.example/siskintide/internal/engine"
)

// driver sends requests.
type driver struct {
	options  Options
	workload *workload
	client   *http.Client
	engines  *engine.Client
	samples  chan *sample
	running  sync.WaitGroup
	slots    chan struct{} // of the closed loop; nil in the open one
}

func newDriver(options Options) *driver {
	// Streams are many and all go to few addresses.
	transport := &http.Transport{MaxIdleConnsPerHost: 1 << 12, DisableCompression: true}
	client := &http.Client{Transport: transport}
	d := &driver{
		options:  options,
		workload: newWorkload(options),
		client:   client,
		engines:  engine.NewClient(client),
		samples:  make(chan *sample, samplesQueued),
	}
	if options.Concurrency > 0 {
		d.slots = make(chan struct{}, options.Concurrency)
	}
	return d
}

// drive sends all requests, waits for their ends and closes the samples.
func (d *driver) drive(ctx context.Context) {
	defer close(d.samples)
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	d.send(ctx, sending)
	drained := make(chan struct{})
	go func() {
		d.running.Wait()
		close(drained)
	}()
	grace := time.NewTimer(d.options.DrainTimeout)
	defer grace.Stop()
	select {
	case <-drained:
	case <-grace.C:
		cancel()
		<-drained
	}
}

// send begins requests until the count or the duration is reached. The requests run
// under their own context.
func (d *driver) send(ctx, requests context.Context) {
	started := time.Now()
	due := started
	for number := 0; d.options.Count == 0 || number < d.options.Count; number++ {
		if d.slots == nil {
			due = due.Add(d.workload.gap(number))
		}
		if !d.wait(ctx, due, started) {
			return
		}
		d.running.Add(1)
		go d.serve(requests, d.workload.request(number))
	}
}

// wait waits until the next request is due, or a slot is free. It reports false when no
// further request is to begin.
func (d *driver) wait(ctx context.Context, due, started time.Time) bool {
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
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return d.options.Duration == 0 || due.Sub(started) < d.options.Duration
	case <-ended:
	case <-ctx.Done():
	}
	return false
}

// serve carries out one request.
func (d *driver) serve(ctx context.Context, r request) {
	defer d.running.Done()
	s := &sample{caller: r.caller, started: time.Now()}
	s.err = d.read(ctx, r, s)
	if s.err != nil && ctx.Err() != nil {
		s.err = &unfinishedError{err: s.err}
	}
	d.samples <- s
	if d.slots != nil {
		<-d.slots
	}
}

// read reads one answer into the sample and returns nil if it was whole.
func (d *driver) read(ctx context.Context, r request, s *sample) error {
	check, err := newChecker(d.options, r)
	if err != nil {
		return err
	}
	answer, err := d.open(ctx, r)
	if err != nil {
		return err
	}
	defer answer.close()
	if relayed, ok := answer.(*relayedSource); ok {
		defer func() { s.resumed = relayed.resumed }()
	}
	last := s.started
	for {
		got, err := answer.next()
		if err == io.EOF {
			return check.end()
		}
		if err != nil {
			return err
		}
		now := time.Now()
		s.arrived(now.Sub(last))
		last = now
		if err := check.token(got); err != nil {
			return err
		}
	}
}

// open sends a request to the address that its number falls to.
func (d *driver) open(ctx context.Context, r request) (source, error) {
	at := r.number % len(d.options.Addresses)
	if d.options.Direct {
		return openDirect(ctx, d.engines, d.options.Addresses[at], d.options, r)
	}
	var addresses []string
	addresses = append(addresses, d.options.Addresses[at:]...)
	addresses = append(addresses, d.options.Addresses[:at]...)
	relayed, err := openRelayed(ctx, d.client, addresses, d.options, r)
	if err != nil {
		return nil, err
	}
	return relayed, nil
}
