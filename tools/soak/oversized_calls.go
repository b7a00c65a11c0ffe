package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	oversizedInterval = 3 * time.Second // mean time between two periods of calls outside the limits
	oversizedConns    = 6               // connections in such a period
)

// injectOversizedCalls opens a few connections with calls outside the limits to one host now and then, until the
// context ends. The host's process must not end of them.
func (s *soak) injectOversizedCalls(ctx context.Context, r *rand.Rand) {
	for n := 0; ; n++ {
		pause(ctx, time.Duration(r.Int64N(int64(2*oversizedInterval))))
		if ctx.Err() != nil {
			return
		}
		h, duration := s.hosts[r.IntN(len(s.hosts))], time.Duration(500+r.IntN(1000))*time.Millisecond
		s.mu.Lock()
		key := s.keys[len(s.keys)-1]
		s.mu.Unlock()
		var sending sync.WaitGroup
		for conn := range oversizedConns {
			calls := newOversizedCalls(key, fmt.Sprintf("%d-o%d-%d", s.options.Seed, n, conn))
			call := calls[r.IntN(len(calls))]
			s.mu.Lock()
			s.faultNames = append(s.faultNames, call.name+" to "+h.boot.Node)
			s.mu.Unlock()
			sending.Go(func() { call.send(h.callerAddress(), duration) })
		}
		sending.Wait()
	}
}
