package relay

import "siskintide.example/siskintide/internal/core"

// Position is the point after which a caller resumes a stream.
type Position struct {
	Generation  core.GenerationID
	Target      core.TargetID
	Address     string // IP and port of the target
	Incarnation core.Incarnation
	Sequence    core.Sequence
	Digest      uint64
}
