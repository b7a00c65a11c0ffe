package operatorapi

import (
	"fmt"

	"siskintide.example/siskintide/internal/decide/plan"
)

// Failure is the body of every answer that is not a success.
type Failure struct {
	Type     FailureType   `json:"type"`
	Message  string        `json:"message"`
	Refusal  *plan.Refusal `json:"refusal,omitempty"` // with type refused
	Conflict *Conflict     `json:"change,omitempty"`  // with type changed_underneath
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s", f.Type, f.Message) }
