package core

import "time"

// EngineCrash is one engine that broke off as it began to respond to a request.
type EngineCrash struct {
	ID     uint64        `cbor:"1,keyasint"` // of the request and its target
	Age    time.Duration `cbor:"2,keyasint"`
	Engine uint64        `cbor:"3,keyasint,omitempty"` // identifies the target; zero if the host that reports it does not tell
	// Ambiguous is set if other requests at the engine are as likely to be the cause.
	Ambiguous bool `cbor:"4,keyasint,omitempty"`
}
