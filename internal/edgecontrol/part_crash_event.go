package edgecontrol

import "siskintide.example/siskintide/internal/core"

// partCrashEvent reports that an engine crashed as it began to respond to a request with the parts.
type partCrashEvent struct {
	parts []core.PromptPart
	crash core.EngineCrash
}

func (e partCrashEvent) apply(s *state) {
	s.quarantine.RecordCrash(e.parts, e.crash, s.now())
	s.shareEvidence()
}
