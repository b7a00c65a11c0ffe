package core

import "time"

// CallerLimits bounds the size of a caller's requests and the time to send them.
type CallerLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
