package callerbudget

import "time"

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if a configuration names none.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// minTimeout and maxTimeout bound what a configuration may name. Below the minimum ordinary clients could not
	// complete a head; above the maximum connections would be kept for good.
	minTimeout = 100 * time.Millisecond
	maxTimeout = 10 * time.Minute
)

// Timeouts bound the time for which a connection of a caller may wait.
type Timeouts struct {
	Header time.Duration // from the first byte of a head, or from the accept of the connection, to the end of the head
	Idle   time.Duration // between two requests
}

// TimeoutsOf returns the timeouts for the values of a configuration, of which zero means the default. It reports whether a
// value was out of bounds and has been clamped.
func TimeoutsOf(header, idle time.Duration) (Timeouts, bool) {
	timeouts := Timeouts{Header: clampTimeout(header, defaultHeaderTimeout), Idle: clampTimeout(idle, defaultIdleTimeout)}
	clamped := header != 0 && timeouts.Header != header || idle != 0 && timeouts.Idle != idle
	return timeouts, clamped
}

func clampTimeout(value, byDefault time.Duration) time.Duration {
	if value == 0 {
		return byDefault
	}
	return min(max(value, minTimeout), maxTimeout)
}
