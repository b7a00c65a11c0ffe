package loadgen

import "fmt"

// wrongError reports an answer that differs from the one that engines give.
type wrongError struct {
	at   int // number of the first token that differs
	want string
	got  string
}

// Error implements error.
func (e *wrongError) Error() string {
	return fmt.Sprintf("token %d is %q, expected %q", e.at, e.got, e.want)
}
