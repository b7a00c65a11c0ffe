package core

import "time"

// CallerLimits bounds the size of a caller's requests and the time to send them. The values are those of the configuration:
// they may be zero or out of bounds.
type CallerLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
