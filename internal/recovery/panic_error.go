package recovery

import "fmt"

// PanicError reports a panic.
type PanicError struct {
	Value any
	Stack []byte // of the goroutine at the panic
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }
