package ownerstore

import "fmt"

// RowError reports a row that cannot be decoded or does not belong under its key. A read
// that contains one fails as a whole, because a lease that cannot be decoded must not be
// mistaken for one that does not exist.
type RowError struct {
	Key   string
	Cause error // nil if the value belongs to a different key
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("row %.120q: %v", e.Key, e.Cause) }

// Unwrap returns Cause.
func (e *RowError) Unwrap() error { return e.Cause }
