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
	Reporter   Reporter
	Metrics    Metrics
	Log        log.Interface
	Clock      boottime.Clock
	// MaxConfigAge bounds the age of the configuration under which API keys are accepted.
	MaxConfigAge time.Duration
	// ShutdownGrace is the time that a host has to finish its streams when it shuts down.
	ShutdownGrace time.Duration
}
