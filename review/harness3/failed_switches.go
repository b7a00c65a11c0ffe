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

func init() { cases["failed-switches"] = failedSwitches }

const (
	draftEngines  = 18
	draftsPerSec  = 21
	draftTime     = 66 * time.Second // for which drafts are sent
	draftEvents   = 200
	draftDeadline = 14 * time.Second
	leaveEvery    = 8 * time.Second // leavesAtOnce engines leave, one sixth of them
	leavesAtOnce  = 3
	servesFor     = 6 * time.Second // that an engine serves on after its notice
	replacedAfter = time.Second     // that another one comes in its place
)

// failedSwitches sends streams that may not be resumed, while engines leave in turn and half of the engines lose the
// answers of a few requests that they run. With TROUBLE=0 engines leave as well.
func failedSwitches(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.store.Put("op", "config", platformtest.Config(1, []string{apiKey}))
	pool, draws := &engines{record: r, copies: map[string]bool{}}, rand.New(rand.NewPCG(3, 14))
	var mu sync.Mutex
	pool.losesAnswer = func(engine string) bool {
		mu.Lock()
		defer mu.Unlock()
		return trouble && strings.HasSuffix(engine, "b") && draws.Float64() < lossShare
	}
	var setState []func(string)
	for i := range draftEngines {
		e := &engine{pool: pool, id: fmt.Sprintf("i-%d-0%c", i, "ab"[i%2]), address: d.address(100+i, 8080)}
		server := &http.Server{Addr: e.address, Handler: e, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.ListenAndServe() }()
		defer func() { _ = server.Close() }()
		setState = append(setState, d.register(e.id, platformtest.EngineService, e.address, 24))
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
	go func() {
		for next, starts := 0, draftEngines; ; next = (next + leavesAtOnce) % draftEngines {
			<-time.After(leaveEvery - servesFor - replacedAfter)
			for i := next; i < next+leavesAtOnce; i++ {
				r.note("engine %d says that it leaves", i)
				setState[i]("draining")
			}
			<-time.After(servesFor)
			for i := next; i < next+leavesAtOnce; i++ {
				setState[i]("")
			}
			<-time.After(replacedAfter)
			for i := next; i < next+leavesAtOnce; i++ {
				e := &engine{pool: pool, id: fmt.Sprintf("i-%d-%d%c", i, starts, "ab"[i%2]), address: d.address(100+starts, 8080)}
				server := &http.Server{Addr: e.address, Handler: e, ReadHeaderTimeout: time.Minute}
				go func() { _ = server.ListenAndServe() }()
				context.AfterFunc(d.closing, func() { _ = server.Close() })
				setState[i] = d.register(e.id, platformtest.EngineService, e.address, 24)
				starts++
			}
			if d.closing.Err() != nil {
				return
			}
		}
	}()
	client, counts := newClient(), map[string]int{}
	var sending sync.WaitGroup
	ticker := time.NewTicker(time.Second / draftsPerSec)
	defer ticker.Stop()
	for n := range int(draftTime.Seconds() * draftsPerSec) {
		<-ticker.C
		sending.Go(func() {
			result := draftOnce(r, client, fronts[n%len(fronts)], n)
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
		return fmt.Errorf("TWICE: two engines worked on %d drafts together for over 400 ms: %s: %w", len(found), strings.Join(found, "; "), errBroken)
	}
	return nil
}

// draftOnce sends one draft and classifies its answer.
func draftOnce(r *record, client *http.Client, front string, n int) string {
	id := fmt.Sprintf("%016x", 0xd4af0000000+n)
	ctx, cancel := context.WithTimeout(context.Background(), draftDeadline)
	defer cancel()
	request, err := newRequest(ctx, http.MethodPost, front, platformtest.StreamPrefix+"1", id, draftDeadline, []byte("prompt"))
	if err != nil {
		return "not sent"
	}
	request.Header.Set("Model", "m")
	request.Header.Set(platformtest.HeaderTokenUsage, fmt.Sprintf("200,%d", draftEvents*eventTokens))
	request.Header.Set(platformtest.HeaderPromptPrefix, "5c1e07a2:79,"+id[8:]+":121")
	got := send(client, request)
	r.note("draft %s: status %d, %d bytes, error %v", id, got.status, len(got.body), got.err)
	switch {
	case !got.complete():
		return "no success"
	case string(got.body) == platformtest.Stream(id, draftEvents):
		return "whole"
	default:
		return "another body"
	}
}
