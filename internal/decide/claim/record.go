package claim

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Record is the content of a claim's row without the answer. The zero Record represents a
// row that does not exist.
type Record struct {
	State     core.ClaimState
	Claimant  core.HostID
	Attempt   core.GenerationID // the call that wrote the record
	BodyHash  [16]byte          // of the method, path and body
	ExpiresAt time.Time         // an unanswered call counts as abandoned from then on
}

// claimable reports whether the key may be claimed.
func (r Record) claimable() bool { return r.State == "" || r.State == core.ClaimVoid }
