package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

func init() { cases["revoked-key"] = revokedKey }

const (
	otherKey     = "wsjnbanfqasnmgkcuyj8" // of the same tenant; stays
	copyAge      = 5 * time.Second        // of the copy from which the store comes back
	awayTime     = 3000 * time.Millisecond
	rewriteAfter = 2100 * time.Millisecond // from the store's return until the operator has written again
	hostCount    = 9
	revokeBound  = 5 * time.Second // revoke-ms of the settings
	callTimeout  = 1500 * time.Millisecond
)

// revokedKey takes a key away. With trouble the store is lost right after it has acknowledged that, and comes back from a
// copy that lacks the change; the operator then writes it again.
func revokedKey(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.store.Put("op", "config", platformtest.Config(1, []string{apiKey, otherKey}))
	var mu sync.Mutex
	ran := map[string]bool{}
	address := d.address(100, 8080)
	runner := &http.Server{Addr: address, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(platformtest.HeaderAttemptID)
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		r.note("runner: run %s, tenant %s", id, req.Header.Get(platformtest.HeaderTenant))
		w.Header().Set(platformtest.HeaderAttemptID, id)
		w.Header().Set(platformtest.HeaderSignature, platformtest.Signature(id))
		_, _ = w.Write([]byte(platformtest.Body(id)))
	})}
	go func() { _ = runner.ListenAndServe() }()
	defer func() { _ = runner.Close() }()
	d.register("i-0", platformtest.WebService, address, 6)
	var fronts []string
	for i := range hostCount {
		zone := fmt.Sprintf("oslo-%c", "abc"[i%3])
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
	<-time.After(copyAge + time.Second)

	revoked := platformtest.Config(2, []string{otherKey})
	if trouble {
		_ = d.server.Close()
	}
	d.store.Put("op", "config", revoked)
	acknowledged := time.Now()
	r.note("operator: the store has acknowledged version 2, without key %s", apiKey)
	var late []string
	var sending sync.WaitGroup
	client, counts := newClient(), map[int]int{}
	sending.Go(func() {
		for n := 0; time.Since(acknowledged) < 8*time.Second; n++ {
			sending.Go(func() {
				id, sent := fmt.Sprintf("%016x", 0x3e70000000+n), time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				request, err := newRequest(ctx, http.MethodGet, fronts[n%len(fronts)], platformtest.IdempotentPrefix+"1", id, callTimeout, nil)
				if err != nil {
					return
				}
				got := send(client, request)
				after := sent.Sub(acknowledged)
				r.note("call %s, sent %d ms after the acknowledgement: status %d, error %v", id, after.Milliseconds(), got.status, got.err)
				mu.Lock()
				defer mu.Unlock()
				counts[got.status]++
				if ran[id] && after > revokeBound {
					late = append(late, fmt.Sprintf("%s (%d ms)", id, after.Milliseconds()))
				}
			})
			<-time.After(3 * time.Millisecond)
		}
	})
	if trouble {
		<-time.After(awayTime)
		d.store.Restore(copyAge)
		if err := d.serveStore(); err != nil {
			return err
		}
		r.note("store: back from a copy")
		<-time.After(rewriteAfter)
		d.store.Put("op", "config", revoked)
		r.note("operator: version 2 is written again, %d ms after its first acknowledgement", time.Since(acknowledged).Milliseconds())
	}
	sending.Wait()
	r.note("answers by status: %v", counts)
	if counts[http.StatusUnauthorized] == 0 {
		return fmt.Errorf("no call was refused for its key")
	}
	if len(late) > 0 {
		return fmt.Errorf("CONFIG: %d calls with a key that was taken away ran, sent later than %s after the acknowledgement: %v: %w", len(late), revokeBound, late, errBroken)
	}
	return nil
}
