package main

import (
	"context"
	"math/rand/v2"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	// restorationInterval and restorationJitter bound the time between two restorations of the store.
	restorationInterval = 4 * time.Second
	restorationJitter   = 6 * time.Second
	// writeAgainDelay bounds the time after which the operator and the targets write again what a restored
	// store has lost.
	writeAgainDelay = 400 * time.Millisecond
)

// injectRestorations takes the store away now and then, and brings it back from a copy that is some seconds
// old, until the context ends. Its draws are its own, so that a seed keeps its other faults.
func (s *soak) injectRestorations(ctx context.Context, r *rand.Rand) {
	for {
		select {
		case <-time.After(restorationInterval + time.Duration(r.Int64N(int64(restorationJitter)))):
		case <-ctx.Done():
			return
		}
		outage, age := time.Duration(200+r.IntN(1800))*time.Millisecond, time.Duration(1000+r.IntN(8000))*time.Millisecond
		delay := time.Duration(r.Int64N(int64(writeAgainDelay)))
		s.mu.Lock()
		s.faultNames = append(s.faultNames, "store restored from a copy of "+age.String())
		s.mu.Unlock()
		s.injectFault(fault{start: func() { s.platformStore.SetMode(platformtest.StoreUnavailable) }, duration: outage + delay, suspendsTimeBounds: true,
			end: func() {
				s.platformStore.Restore(age)
				s.platformStore.SetMode(platformtest.StoreHealthy)
				<-time.After(delay)
				s.writeAgain()
			}})
	}
}

// writeAgain writes what the operator and the targets have written into a store that has lost it.
func (s *soak) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformStore.PutConfig(s.version, s.keys)
	for zone, evacuated := range s.evacuated {
		s.platformStore.SetEvacuated(zone, evacuated)
	}
	for _, t := range s.targets {
		if t.leavingSince.IsZero() {
			t.Register("ready")
		} else {
			t.Register("draining")
		}
	}
	for _, t := range s.gone {
		t.Unregister()
	}
}
