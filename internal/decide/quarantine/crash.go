package quarantine

import "time"

// crash is one crash of an engine.
type crash struct {
	id        uint64
	engine    uint64 // zero if unknown
	at        time.Duration
	ambiguous bool // other requests at the engine are as likely to be the cause
}
