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

// meanRequestPause is the mean pause of a client between two requests.
const meanRequestPause = 30 * time.Millisecond

// refusalStatuses are the statuses that guarantee that a request was not and will not be run.
var refusalStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// runClient sends requests over persistent connections until the context ends.
func (s *soak) runClient(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.options.Seed, uint64(number)))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d-%d", s.options.Seed, number, n)
		s.sendRequest(ctx, &http.Client{Transport: transport}, r, id, uploadPause(n))
		select {
		case <-time.After(time.Duration(r.IntN(int(2 * meanRequestPause)))):
		case <-ctx.Done():
		}
	}
}

// uploadPause returns the pause within the body of a client's n-th request; zero for most.
func uploadPause(n int) time.Duration {
	if n%16 != 5 {
		return 0
	}
	return time.Duration(n/16%6) * 900 * time.Millisecond
}

// sendRequest sends one request and records its outcome.
func (s *soak) sendRequest(runCtx context.Context, client *http.Client, r *rand.Rand, id string, upload time.Duration) {
	ctx, cancel := context.WithTimeout(runCtx, 20*time.Second)
	defer cancel()
	path, method, events := platformtest.IdempotentPrefix, http.MethodGet, 0
	switch r.IntN(6) {
	case 0, 1:
		path, method = platformtest.AtMostOncePrefix, http.MethodPost
	case 2:
		path, method, events = platformtest.StreamPrefix, http.MethodPost, 4+r.IntN(120)
	}
	key := s.randomKey(r)
	host := s.hosts[r.IntN(len(s.hosts))]
	request, err := platformtest.NewRequest(ctx, host.callerAddress(), method, path+"1", id, key, events)
	if err != nil {
		s.recordViolation("request could not be built: %v", err)
		return
	}
	record := &sentRequest{id: id, atMostOnce: path != platformtest.IdempotentPrefix, stream: events > 0, key: key, host: host.boot.Node, sentAt: time.Now()}
	if upload > 0 && method == http.MethodPost {
		record.uploading = upload
		request.Body = io.NopCloser(newLateBody(id, upload))
		request.GetBody = nil
	}
	record.outcome, record.answered = s.classify(client, request, id, events)
	record.abandoned = !record.answered && runCtx.Err() != nil
	record.endedAt = time.Now()
	s.recordRequest(record)
}

// classify sends a request, checks the response and returns its outcome, and whether the response was complete.
func (s *soak) classify(client *http.Client, request *http.Request, id string, events int) (result outcome, answered bool) {
	response, err := client.Do(request)
	if err != nil {
		return outcomeFailed, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		if refusalStatuses[response.StatusCode] {
			return outcomeRefused, err == nil
		}
		return outcomeFailed, err == nil
	}
	want := platformtest.Body(id)
	if events > 0 {
		want = platformtest.Stream(id, int64(events))
	}
	switch {
	case !strings.HasPrefix(want, string(body)):
		s.recordViolation("request %s: wrong bytes in a success", id)
	case !platformtest.Signed(response.Header, id):
		s.recordViolation("request %s: success without the target's signature", id)
	case err == nil && string(body) != want:
		s.recordViolation("request %s: complete response with %d of %d bytes", id, len(body), len(want))
	case err == nil:
		return outcomeComplete, true
	}
	return outcomeFailed, err == nil
}
