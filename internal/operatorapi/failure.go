package operatorapi

import (
	"fmt"

	"siskintide.example/siskintide/internal/decide/plan"
)

// Failure is the body of every response without success.
type Failure struct {
	Type     FailureType   `json:"type"`
	Message  string        `json:"message"`
	Refusal  *plan.Refusal `json:"refusal,omitempty"` // set with type Refused
	Conflict *Conflict     `json:"change,omitempty"`  // set with type Conflicted
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s", f.Type, f.Message) }
