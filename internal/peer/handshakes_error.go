package peer

import "fmt"

// HandshakesError reports a connection that was refused because too many others are not authenticated yet.
type HandshakesError struct {
	Limit int
}

// Error implements error.
func (e *HandshakesError) Error() string {
	return fmt.Sprintf("%d connections are not authenticated yet", e.Limit)
}
