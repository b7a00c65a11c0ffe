package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// randomLiveTarget returns a random target that is not leaving. The caller must hold s.mu.
func (s *soak) randomLiveTarget(r *rand.Rand) *target {
	for {
		t := s.targets[r.IntN(len(s.targets))]
		if t.leavingSince.IsZero() {
			return t
		}
	}
}

// announceLeaving registers a target as draining, ahead of its removal.
func (s *soak) announceLeaving(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.leavingSince.IsZero() {
		return
	}
	t.Register("draining")
	t.leavingSince = time.Now()
	s.leavingSince[t.id] = t.leavingSince
}

// replaceTarget stops a target and starts another one in its place.
func (s *soak) replaceTarget(t *target, stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := slices.Index(s.targets, t)
	if index < 0 {
		return
	}
	s.targets = slices.Delete(s.targets, index, index+1)
	stop()
	t.Unregister()
	s.gone = append(s.gone, t)
	if _, err := s.addTarget(t.engine, t.zone); err != nil {
		s.violations = append(s.violations, fmt.Sprintf("target was not replaced: %v", err))
	}
}

// rotateKeys revokes the oldest key and adds a new one.
func (s *soak) rotateKeys() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 2
	revoked := s.keys[0]
	s.keys = append(slices.Clone(s.keys[1:]), fmt.Sprintf("key-%d", s.version))
	s.platformStore.PutConfig(s.version, s.keys)
	s.revokedAt[revoked] = time.Now()
}

// randomKey returns a random valid key, or in one case of ten a revoked one.
func (s *soak) randomKey(r *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.IntN(10) == 0 && len(s.revokedAt) > 0 {
		var revoked []string
		for key := range s.revokedAt {
			revoked = append(revoked, key)
		}
		slices.Sort(revoked)
		return revoked[r.IntN(len(revoked))]
	}
	return s.keys[r.IntN(len(s.keys))]
}

func (s *soak) setEvacuated(zone string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated[zone] = evacuated
	s.platformStore.SetEvacuated(zone, evacuated)
}

// recordRequest stores a finished request for the checks.
func (s *soak) recordRequest(request *sentRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, request)
}

// recordViolation records a broken guarantee.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
