package gateway

import (
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/boottime"
)

// Options configures a Gateway. All fields are required.
type Options struct {
	Desk    Desk
	Codec   Codec
	Mover   Mover
	Metrics Metrics
	Log     log.Interface
	Clock   boottime.Clock
	// KeyProofAge is how old the configuration may be, by proof, when a key is accepted.
	KeyProofAge time.Duration
	// StopGrace is the time that a host has to end its streams when it is told to stop.
	StopGrace time.Duration
}
