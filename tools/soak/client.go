package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// callsBetween is the usual pause of a client between two requests.
const callsBetween = 30 * time.Millisecond

// refusals are the statuses that promise that a request has not run and will not.
var refusals = map[int]bool{408: true, 421: true, 429: true, 503: true}

// client sends requests until the context ends, and keeps its connections open.
func (w *world) client(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(w.options.Seed, uint64(number)))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d-%d", w.options.Seed, number, n)
		w.request(ctx, &http.Client{Transport: transport}, r, id)
		select {
		case <-time.After(time.Duration(r.IntN(int(2 * callsBetween)))):
		case <-ctx.Done():
		}
	}
}

// request sends one request and judges its answer.
func (w *world) request(ctx context.Context, client *http.Client, r *rand.Rand, id string) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	path, method, events := platformtest.IdempotentPrefix, http.MethodGet, 0
	switch r.IntN(6) {
	case 0, 1:
		path, method = platformtest.AtMostOncePrefix, http.MethodPost
	case 2:
		path, method, events = platformtest.StreamPrefix, http.MethodPost, 4+r.IntN(120)
	}
	key := w.key(r)
	front := w.hosts[r.IntN(len(w.hosts))].front()
	request, err := platformtest.NewRequest(ctx, front, method, path+"1", id, key, events)
	if err != nil {
		w.broken("request could not be made: %v", err)
		return
	}
	made := &sent{id: id, once: path != platformtest.IdempotentPrefix, stream: events > 0, key: key, at: time.Now()}
	made.kind = w.judge(client, request, id, events)
	made.ended = time.Now()
	w.note(made)
}

// judge checks what a caller gets.
func (w *world) judge(client *http.Client, request *http.Request, id string, events int) answerKind {
	response, err := client.Do(request)
	if err != nil {
		return answerFailed
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		if refusals[response.StatusCode] {
			return answerRefused
		}
		return answerFailed
	}
	want := platformtest.Body(id)
	if events > 0 {
		want = platformtest.Stream(id, int64(events))
	}
	switch {
	case !strings.HasPrefix(want, string(body)):
		w.broken("request %s: wrong bytes in a success", id)
	case !platformtest.Signed(response.Header, id):
		w.broken("request %s: success without the target's signature", id)
	case err == nil && string(body) != want:
		w.broken("request %s: %d of %d bytes look whole", id, len(body), len(want))
	case err == nil:
		return answerWhole
	}
	return answerFailed
}
