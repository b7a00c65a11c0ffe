package gateway

import (
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/boottime"
)

// Options configures a Gateway. All fields are required.
type Options struct {
	Controller Controller
	Codec      Codec
	Mover      Mover
	Metrics    Metrics
	Log        log.Interface
	Clock      boottime.Clock
	// MaxConfigAge is how old the configuration may be, by proof, when a key is accepted.
	MaxConfigAge time.Duration
	// ShutdownGrace is the time that a host has to end its streams when it is told to stop.
	ShutdownGrace time.Duration
}
