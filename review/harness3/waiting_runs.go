package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

func init() { cases["waiting-runs"] = waitingRuns }

const (
	engineCount    = 6
	streamsPerSec  = 8
	streamTime     = 45 * time.Second // for which streams are sent
	streamDeadline = 15 * time.Second
	lossShare      = 0.05 // of the requests of an engine that loses answers
	maxTogether    = 400 * time.Millisecond
)

// waitingRuns sends streams that may be resumed, while half of the engines lose the answers of a few requests that they
// run: the connection is reset while the prompt is still read.
func waitingRuns(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.store.Put("op", "config", platformtest.Config(1, []string{apiKey}))
	pool, draws := &engines{record: r, copies: map[string]bool{}, lossAfter: 50 * time.Millisecond}, rand.New(rand.NewPCG(3, 12))
	var mu sync.Mutex
	pool.losesAnswer = func(engine string) bool {
		mu.Lock()
		defer mu.Unlock()
		return trouble && engine < fmt.Sprintf("i-%d", engineCount/2) && draws.Float64() < lossShare
	}
	for i := range engineCount {
		address := d.address(100+i, 8080)
		e := &engine{pool: pool, id: fmt.Sprintf("i-%d", i), address: address}
		server := &http.Server{Addr: address, Handler: e, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.ListenAndServe() }()
		defer func() { _ = server.Close() }()
		d.register(e.id, platformtest.EngineService, address, 8)
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
	<-time.After(2 * time.Second)
	client, counts := newClient(), map[string]int{}
	var sending sync.WaitGroup
	ticker := time.NewTicker(time.Second / streamsPerSec)
	defer ticker.Stop()
	for n := range int(streamTime.Seconds() * streamsPerSec) {
		<-ticker.C
		sending.Go(func() {
			result := streamOnce(r, client, fronts[n%len(fronts)], n)
			mu.Lock()
			defer mu.Unlock()
			counts[result]++
		})
	}
	sending.Wait()
	r.note("answers: %v", counts)
	if counts["whole"] == 0 {
		return fmt.Errorf("no stream was served")
	}
	if found := pool.overlaps(maxTogether); len(found) > 0 {
		return fmt.Errorf("TWICE: two engines worked on %d requests together for over 400 ms: %s: %w", len(found), strings.Join(found, "; "), errBroken)
	}
	return nil
}

// streamOnce sends one stream and classifies its answer.
func streamOnce(r *record, client *http.Client, front string, n int) string {
	id := fmt.Sprintf("%016x", 0x57e0000000+n)
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	request, err := newRequest(ctx, http.MethodPost, front, platformtest.ResumablePrefix+"1", id, streamDeadline, []byte("prompt"))
	if err != nil {
		return "not sent"
	}
	request.Header.Set("Model", "m")
	request.Header.Set(platformtest.HeaderTokenUsage, "3000,400")
	request.Header.Set(platformtest.HeaderPromptPrefix, "5c1e07a2:79,"+id[8:]+":2921")
	got := send(client, request)
	r.note("stream %s: status %d, %d bytes, error %v", id, got.status, len(got.body), got.err)
	switch {
	case !got.complete():
		return "no success"
	case string(got.body) == platformtest.Stream(id, 100):
		return "whole"
	default:
		return "another body"
	}
}
