package relay

import "siskintide.example/siskintide/internal/core"

// ResumePoint is the point after which a caller resumes a stream.
type ResumePoint struct {
	Generation  core.GenerationID
	Target      core.TargetID
	Address     string // IP and port of the target
	Incarnation core.Incarnation
	Sequence    core.Sequence
	Digest      uint64
}
