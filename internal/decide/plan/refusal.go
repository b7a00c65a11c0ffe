package plan

import "fmt"

// Refusal is the reason why an intent cannot be planned and, if there is one, the nearest
// intent that can.
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
