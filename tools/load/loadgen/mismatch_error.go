package loadgen

import "fmt"

// mismatchError reports a response that differs from the expected output.
type mismatchError struct {
	at   int // number of the first differing token, from 1
	want string
	got  string
}

// Error implements error.
func (e *mismatchError) Error() string {
	return fmt.Sprintf("token %d is %q, expected %q", e.at, e.got, e.want)
}
