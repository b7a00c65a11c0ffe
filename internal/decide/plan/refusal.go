package plan

import "fmt"

// Refusal says why there is no plan for an intent, and which intent nearest to it would
// be planned, if any.
type Refusal struct {
	Reason  Reason  `json:"reason"`
	Message string  `json:"message"`
	Nearest *Intent `json:"nearest,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("refused (%s): %s", r.Reason, r.Message) }

func refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Message: fmt.Sprintf(format, args...)}
}
