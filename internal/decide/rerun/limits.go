package rerun

import "time"

// Limits bounds the work that one stream may cause.
type Limits struct {
	MaxResumes    int           // consecutive reconnections without a new token
	MaxReruns     int           // generations started again; zero when the request is not known
	ResumeBackoff time.Duration // backoff before the second consecutive reconnection, doubled for each further one
}

// DefaultLimits returns the limits of a caller's stream. All reconnections together fit
// well within the 10 s for which an engine keeps a stream without a reader.
func DefaultLimits() Limits {
	return Limits{MaxResumes: 6, MaxReruns: 3, ResumeBackoff: 50 * time.Millisecond}
}
