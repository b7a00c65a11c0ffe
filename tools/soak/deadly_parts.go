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

const (
	deadlyPeriod        = 9 * time.Second
	deadlyRequestPause  = 200 * time.Millisecond // between two requests with the part
	deadlyEvents        = 10                     // of a requested stream
	crashesBeforeBound  = 5
	crashNewsTime       = 3 * time.Second // within which hosts hear of each other's crashes
	lateDeadlyRequests  = 3               // that may reach engines later than crashNewsTime after crashesBeforeBound
	firstDeadlyPart     = 500 * time.Millisecond
	deadlyPartsInterval = 4 * time.Second // between two parts
)

// injectDeadlyParts makes one part of a prompt after the other deadly until the context ends, and sends requests with it.
func (s *soak) injectDeadlyParts(ctx context.Context, r *rand.Rand) {
	requests := rand.New(rand.NewPCG(s.options.Seed, deadlyCaller))
	for pause(ctx, firstDeadlyPart); ctx.Err() == nil; pause(ctx, deadlyPartsInterval) {
		part := &deadlyPart{name: fmt.Sprintf("deadd1e%d", r.IntN(1<<20)), form: crashForms[r.IntN(len(crashForms))]}
		s.mu.Lock()
		s.deadly = append(s.deadly, part)
		s.faultNames = append(s.faultNames, fmt.Sprintf("part %s deadly: %+v", part.name, part.form))
		s.mu.Unlock()
		period, cancel := context.WithTimeout(ctx, deadlyPeriod)
		for n := 0; period.Err() == nil; n++ {
			go s.sendDeadlyRequest(part, fmt.Sprintf("%d-%s-%d", s.options.Seed, part.name, n), requests.IntN(len(s.hosts)), requests.IntN(2) == 0)
			pause(period, deadlyRequestPause)
		}
		cancel()
		part.end()
	}
}

// sendDeadlyRequest sends one request with a part. Its outcome is recorded at the engines.
func (s *soak) sendDeadlyRequest(part *deadlyPart, id string, host int, resumable bool) {
	ctx, cancel := context.WithTimeout(context.Background(), longestGap)
	defer cancel()
	path := platformtest.StreamPrefix
	if resumable {
		path = platformtest.ResumablePrefix
	}
	s.mu.Lock()
	key := s.keys[len(s.keys)-1]
	s.mu.Unlock()
	request, err := platformtest.NewRequest(ctx, s.hosts[host].callerAddress(), http.MethodPost, path+"1", id, key, deadlyEvents)
	if err != nil {
		s.recordViolation("request could not be built: %v", err)
		return
	}
	request.Header.Set(platformtest.HeaderPromptPrefix, fmt.Sprintf("%s,%s:100,%s:100", sharedPart, part.name, id))
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return // a crash breaks the connection
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// deadlyPartOf returns the deadly part of a request's prompt; nil for none.
func (s *soak) deadlyPartOf(request *http.Request) *deadlyPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range s.deadly {
		if strings.Contains(request.Header.Get(platformtest.HeaderPromptPrefix), part.name+":") {
			return part
		}
	}
	return nil
}

// serveDeadly records a request with a deadly part at an engine, and crashes the engine as it begins to respond. It
// reports false if the part is deadly no longer.
func (s *soak) serveDeadly(t *target, part *deadlyPart, w http.ResponseWriter, request *http.Request) bool {
	if !part.record() {
		return false
	}
	<-time.After(eventInterval)
	id := request.Header.Get(platformtest.HeaderAttemptID)
	if part.form.head {
		w.Header().Set(platformtest.HeaderAttemptID, id)
		w.Header().Set(platformtest.HeaderSignature, platformtest.Signature(id))
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
	}
	for event := range part.form.events {
		_, _ = io.WriteString(w, platformtest.Event(id, event))
		_ = http.NewResponseController(w).Flush()
	}
	if t.Killed() {
		panic(http.ErrAbortHandler)
	}
	part.recordCrash()
	now := time.Now()
	s.mu.Lock()
	s.broken[t.id] = append(s.broken[t.id], interval{start: now, end: now})
	s.mu.Unlock()
	s.replaceTarget(t, func() { t.crashAs(part.form) })
	panic(http.ErrAbortHandler)
}

// checkDeadlyPart checks that hosts pass on few requests with a part once engines have crashed under it several times.
func (s *soak) checkDeadlyPart(part *deadlyPart) {
	part.mu.Lock()
	defer part.mu.Unlock()
	if len(part.crashes) < crashesBeforeBound {
		return
	}
	from := part.crashes[crashesBeforeBound-1]
	late := 0
	for _, at := range part.sent {
		if at.Sub(from) > crashNewsTime && s.timeBoundsApply(from, at) {
			late++
		}
	}
	if late > lateDeadlyRequests {
		s.recordViolation("%d requests with the deadly part %s reached engines later than %s after the fifth of %d crashes", late, part.name, crashNewsTime, len(part.crashes))
	}
}
