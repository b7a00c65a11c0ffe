package edgecontrol

import "siskintide.example/siskintide/internal/core"

// partSoundEvent reports that a generation on the parts has begun.
type partSoundEvent struct {
	parts []core.PromptPart
	id    uint64 // of the request and the engine
}

func (e partSoundEvent) apply(s *state) {
	s.quarantine.RecordSound(e.parts, e.id, s.now())
	s.shareEvidence()
}
