package core

import "time"

// CallerLimits bounds what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
