package loadgen

import "fmt"

// refusedError reports an answer that is a refusal, or ends with one.
type refusedError struct {
	kind string // the refusal's type
	run  string // whether the request ran, in the refusal's words
}

// Error implements error.
func (e *refusedError) Error() string { return fmt.Sprintf("refused: %s (%s)", e.kind, e.run) }
