package ownerstore

import "fmt"

// RowError reports a row whose value does not belong under its key. Nothing is concluded
// from a read that holds one: a lease that cannot be read must not pass for one that is gone.
type RowError struct {
	Key   string
	Cause error // nil if the value names something else than the key
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("row %.120q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }
