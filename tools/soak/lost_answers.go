package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	lostAnswerPause  = 250 * time.Millisecond // between two streams whose answers are lost
	lostAnswerEvents = 100                    // of such a stream
	latestBegin      = 600 * time.Millisecond // of a run after its connection was reset
)

// loseAnswers sends streams whose first engines reset the connection and work on, until the context ends.
func (s *soak) loseAnswers(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-l-%d", s.options.Seed, n)
		s.recorder.PlanEndings(id, platformtest.StreamEnding{CutAfter: r.Int64N(lostAnswerEvents / 2), WorksOn: true})
		go s.sendLostAnswer(&sentRequest{id: id, atMostOnce: true}, platformtest.StreamPrefix, s.hosts[r.IntN(len(s.hosts))])
		pause(ctx, lostAnswerPause)
	}
}

// loseAnswersEarly sends streams whose first engines, or those that take over, reset the connection and begin to run the
// request after a while, until the context ends.
func (s *soak) loseAnswersEarly(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		record := &sentRequest{id: fmt.Sprintf("%d-e-%d", s.options.Seed, n), beginsLate: true}
		prefix := platformtest.ResumablePrefix
		if record.resumable = n%2 == 0; !record.resumable {
			prefix, record.atMostOnce = platformtest.StreamPrefix, true
		}
		late := platformtest.StreamEnding{WorksOn: true, BeginsAfter: time.Duration(r.Int64N(int64(latestBegin)))}
		if n%4 == 1 {
			s.recorder.PlanEndings(record.id, platformtest.StreamEnding{CutAfter: -1}, late)
		} else {
			s.recorder.PlanEndings(record.id, late)
		}
		go s.sendLostAnswer(record, prefix, s.hosts[r.IntN(len(s.hosts))])
		pause(ctx, lostAnswerPause)
	}
}

// sendLostAnswer sends one such stream. Any outcome is allowed, but for wrong bytes and a second run beside the first.
func (s *soak) sendLostAnswer(record *sentRequest, prefix string, h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), longestGap)
	defer cancel()
	s.mu.Lock()
	key := s.keys[len(s.keys)-1]
	s.mu.Unlock()
	record.key, record.stream, record.host, record.sentAt, record.abandoned, record.linkBroken = key, true, h.boot.Node, time.Now(), true, true
	request, err := platformtest.NewRequest(ctx, h.callerAddress(), http.MethodPost, prefix+"1", record.id, key, lostAnswerEvents)
	if err != nil {
		s.recordViolation("request could not be built: %v", err)
		return
	}
	record.outcome, record.answered = s.classify(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, request, record.id, lostAnswerEvents)
	record.endedAt = time.Now()
	s.recordRequest(record)
}
