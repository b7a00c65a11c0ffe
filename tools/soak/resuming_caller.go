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
	// resumingCallerCount is the number of concurrent callers of streams that may be resumed.
	resumingCallerCount = 3
	// resumptionAttempts bounds the attempts at one stream.
	resumptionAttempts = 8
	// longestGap is the pause in a stream after which a caller leaves: eight times the longest pause that its route allows.
	longestGap = 3200 * time.Millisecond
	// attemptsPerLostLink is the mean number of attempts until the caller's own link breaks, within the stream.
	attemptsPerLostLink = 4
	// sharedPart is the first part of all prompts.
	sharedPart = "5ead:100"
)

// resumingCaller is a caller of one stream that may be resumed. After a broken response it resumes the stream after
// the last event that it has, at any host and with a new id.
type resumingCaller struct {
	soak     *soak
	random   *rand.Rand
	id       string
	events   int
	kept     string // complete events of all attempts
	attempts int
	resumed  bool // an attempt was sent with the id of the last event
}

// runResumingCallers requests one stream after the other until the context ends.
func (s *soak) runResumingCallers(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.options.Seed, resumingCallers+uint64(number)))
	for n := 0; ctx.Err() == nil; n++ {
		caller := resumingCaller{soak: s, random: r, id: fmt.Sprintf("%d-r%d-%d", s.options.Seed, number, n), events: 4 + r.IntN(120)}
		result := outcomeFailed
		for caller.attempts < resumptionAttempts && ctx.Err() == nil {
			if result = caller.attempt(ctx); result == outcomeComplete {
				break
			}
			pause(ctx, time.Duration(r.IntN(int(4*meanRequestPause))))
		}
		s.recordResumed(caller.resumed, result == outcomeComplete)
	}
}

// attempt sends one attempt to a host and records it.
func (c *resumingCaller) attempt(runCtx context.Context) outcome {
	ctx, cancel := context.WithCancel(runCtx)
	defer cancel()
	c.attempts++
	id := c.id
	if c.attempts > 1 {
		id = platformtest.AttemptID(c.id, c.attempts)
	}
	host, key := c.soak.hosts[c.random.IntN(len(c.soak.hosts))], c.soak.randomKey(c.random)
	request, err := platformtest.NewRequest(ctx, host.callerAddress(), http.MethodPost, platformtest.ResumablePrefix+"1", id, key, c.events)
	if err != nil {
		c.soak.recordViolation("request could not be built: %v", err)
		return outcomeFailed
	}
	request.Header.Set(platformtest.HeaderPromptPrefix, fmt.Sprintf("%s,%s:100", sharedPart, c.id))
	if n := strings.Count(c.kept, "\n\n"); n > 0 {
		request.Header.Set(platformtest.HeaderLastEventID, fmt.Sprint(n-1))
		c.resumed = true
	}
	linkBytes := len(platformtest.Stream(c.id, int64(c.events))) + 1
	if c.random.IntN(attemptsPerLostLink) == 0 {
		linkBytes = c.random.IntN(linkBytes)
	}
	record := &sentRequest{id: id, stream: true, resumable: true, key: key, host: host.boot.Node, sentAt: time.Now()}
	record.outcome, record.answered, record.linkBroken = c.receive(request, cancel, linkBytes)
	record.abandoned = !record.answered && (record.linkBroken || runCtx.Err() != nil)
	record.endedAt = time.Now()
	c.soak.recordRequest(record)
	return record.outcome
}

// receive sends an attempt and keeps the complete events of the response. It reports the outcome, whether the
// response was complete, and whether the caller's link broke after linkBytes. The caller leaves after longestGap
// without data.
func (c *resumingCaller) receive(request *http.Request, leave func(), linkBytes int) (result outcome, answered, broken bool) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	patience := time.AfterFunc(longestGap, leave)
	defer patience.Stop()
	response, err := client.Do(request)
	if err != nil {
		return outcomeFailed, false, false
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	for buffer := make([]byte, 4<<10); err == nil; {
		var n int
		n, err = response.Body.Read(buffer)
		text.Write(buffer[:n])
		patience.Reset(longestGap)
		if text.Len() > linkBytes {
			broken = true
			break
		}
	}
	body := text.String()[:min(text.Len(), linkBytes)]
	answered = err == io.EOF && !broken
	switch {
	case response.StatusCode == http.StatusOK:
		return c.keep(body, response.Header, request.Header.Get(platformtest.HeaderAttemptID), answered), answered, broken
	case refusalStatuses[response.StatusCode]:
		return outcomeRefused, answered, broken
	}
	return outcomeFailed, answered, broken
}

// keep checks a response and keeps its complete events. What the caller has kept must be the beginning of one whole
// run, and after a complete response all of it.
func (c *resumingCaller) keep(body string, header http.Header, id string, complete bool) outcome {
	whole, before := platformtest.Stream(c.id, int64(c.events)), len(c.kept)
	if !platformtest.Signed(header, id) {
		c.soak.recordViolation("request %s: success without the target's signature", id)
	}
	if !strings.HasPrefix(whole, c.kept+body) {
		c.soak.recordViolation("request %s: attempts don't join to one run after %d of %d bytes", id, before, len(whole))
		c.attempts = resumptionAttempts
		return outcomeFailed
	}
	if end := strings.LastIndex(body, "\n\n"); end >= 0 {
		c.kept += body[:end+2]
	}
	if !complete {
		return outcomeFailed
	}
	if c.kept != whole || len(c.kept) != before+len(body) {
		c.soak.recordViolation("request %s: complete response, with %d of %d bytes over all attempts", id, before+len(body), len(whole))
	}
	return outcomeComplete
}

// recordResumed counts a stream that a caller has resumed.
func (s *soak) recordResumed(resumed, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resumed {
		s.resumedCount++
	}
	if resumed && whole {
		s.resumedWhole++
	}
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
