package peer

import "fmt"

// UnknownKindError reports a frame of a kind that this version cannot decode. Such frames
// are skipped.
type UnknownKindError struct {
	Kind uint64
}

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown frame kind %d", e.Kind) }
