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
)

// loseAnswers sends streams whose first engines reset the connection and work on, until the context ends.
func (s *soak) loseAnswers(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-l-%d", s.options.Seed, n)
		s.recorder.PlanEndings(id, platformtest.StreamEnding{CutAfter: r.Int64N(lostAnswerEvents / 2), WorksOn: true})
		go s.sendLostAnswer(id, s.hosts[r.IntN(len(s.hosts))])
		pause(ctx, lostAnswerPause)
	}
}

// sendLostAnswer sends one such stream. Any outcome is allowed, but for wrong bytes and a second run beside the first.
func (s *soak) sendLostAnswer(id string, h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), longestGap)
	defer cancel()
	s.mu.Lock()
	key := s.keys[len(s.keys)-1]
	s.mu.Unlock()
	record := &sentRequest{id: id, key: key, atMostOnce: true, stream: true, host: h.boot.Node, sentAt: time.Now(), abandoned: true, linkBroken: true}
	request, err := platformtest.NewRequest(ctx, h.callerAddress(), http.MethodPost, platformtest.StreamPrefix+"1", id, key, lostAnswerEvents)
	if err != nil {
		s.recordViolation("request could not be built: %v", err)
		return
	}
	record.outcome, record.answered = s.classify(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, request, id, lostAnswerEvents)
	record.endedAt = time.Now()
	s.recordRequest(record)
}
