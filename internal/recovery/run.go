package recovery

import "runtime/debug"

// Run calls f and returns its error, or a *PanicError if f panics.
func Run(f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{Value: value, Stack: debug.Stack()}
		}
	}()
	return f()
}
