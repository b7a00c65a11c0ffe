package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

func init() { cases["unframed-answers"] = unframedAnswers }

const (
	crashes     = 6
	crashTime   = 4500 * time.Millisecond // that a runner is down
	crashEvery  = 6 * time.Second
	callsPerSec = 43 // as the sheet of stemmebu-ruter has them: 30.7 bookings and 12.3 lookups
)

// unframedAnswers kills one of three runners of a plain service now and then, while they answer without a length.
func unframedAnswers(r *record, trouble bool) error {
	d, err := newDeployment(r, nil)
	if err != nil {
		return err
	}
	defer d.close()
	d.store.Put("op", "config", platformtest.Config(1, []string{apiKey}))
	var runners []*runnerProcess
	for i := range 3 {
		p := &runnerProcess{record: r, address: d.address(100+i, 8080), id: fmt.Sprintf("i-%d", i)}
		if err := p.start(); err != nil {
			return err
		}
		defer p.kill()
		defer d.register(p.id, platformtest.WebService, p.address, 6)()
		runners = append(runners, p)
	}
	var fronts []string
	for i, zone := range []string{"oslo-a", "oslo-b"} {
		h, err := d.startHost(1+i, zone)
		if err != nil {
			return err
		}
		fronts = append(fronts, h.front())
	}
	for _, h := range d.hosts {
		if err := d.awaitReady(h); err != nil {
			return err
		}
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	stop := make(chan struct{})
	sending.Go(func() {
		client, ticker := newClient(), time.NewTicker(time.Second/callsPerSec)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			sending.Go(func() {
				result := callOnce(r, client, fronts[n%len(fronts)], n)
				mu.Lock()
				defer mu.Unlock()
				counts[result]++
			})
		}
	})
	time.Sleep(2 * time.Second)
	for i := range crashes {
		if trouble {
			p := runners[i%len(runners)]
			r.note("runner %s is killed", p.id)
			p.kill()
			time.Sleep(crashTime)
			if err := p.start(); err != nil {
				return err
			}
			r.note("runner %s is back", p.id)
			time.Sleep(crashEvery - crashTime)
		} else {
			time.Sleep(crashEvery)
		}
	}
	close(stop)
	sending.Wait()
	r.note("answers: %v", counts)
	if counts["whole"] == 0 {
		return fmt.Errorf("no request was served")
	}
	if counts["cut, though a complete success"] > 0 {
		return fmt.Errorf("MIXED: %d successes with a part of the runner's body: %w", counts["cut, though a complete success"], errBroken)
	}
	return nil
}

// callOnce sends one call and classifies its answer.
func callOnce(r *record, client *http.Client, front string, n int) string {
	method, path := http.MethodPost, platformtest.AtMostOncePrefix+"1"
	if n%10 < 3 {
		method, path = http.MethodGet, platformtest.IdempotentPrefix+"1"
	}
	id := fmt.Sprintf("%016x", 0x51e0000000+n)
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	request, err := newRequest(ctx, method, front, path, id, 1500*time.Millisecond, nil)
	if err != nil {
		return "not sent"
	}
	got := send(client, request)
	r.note("%s %s attempt %s: status %d, %d bytes, error %v", method, path, id, got.status, len(got.body), got.err)
	switch want := platformtest.Body(id); {
	case !got.complete():
		return "no success"
	case string(got.body) == want:
		return "whole"
	default:
		r.note("attempt %s: a complete success with %d of %d bytes, signature %q", id, len(got.body), len(want), got.signature)
		return "cut, though a complete success"
	}
}
