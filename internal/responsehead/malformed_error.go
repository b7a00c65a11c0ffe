package responsehead

import (
	"fmt"

	"siskintide.example/siskintide/internal/decide/responsescan"
)

// MalformedError reports that the head of a response is not valid HTTP. The request may have run.
type MalformedError struct {
	Reason responsescan.Reason
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed head of the response: %s", e.Reason)
}
