package core

import (
	"fmt"
	"time"
)

// Refusal is the error that a caller gets. Run says whether the request had an effect.
// RetryAfter is zero if a retry is pointless.
type Refusal struct {
	Kind       RefusalKind   `cbor:"1,keyasint,omitempty"`
	Message    string        `cbor:"2,keyasint,omitempty"`
	Run        RunState      `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Run, r.Message)
}
