package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/callerlimit"
)

// Options configures a Gateway. All fields but Memory are required.
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
	// BodyMemory bounds the bytes of large request bodies that are held at a time. A body larger than that is
	// refused.
	BodyMemory int64
	// Memory is the memory for bodies and buffered responses; nil for no limit.
	Memory *callerlimit.Limiter
	// Stopping ends when a host that shuts down responds to all requests that it still serves, shortly before it
	// closes their connections.
	Stopping context.Context
}
