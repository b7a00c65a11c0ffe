package edgehost

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/retrybudget"
	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/gateway"
)

// Options configures a Host. All fields are required, but Metrics may be empty.
type Options struct {
	Self           core.Host
	CallersAddress string // address of the callers' listener
	ReadyAddress   string // address that answers whether the host takes new callers
	ReadyPath      string
	MetricsAddress string // address of the metrics; empty for none
	// Join enters this host into the list of hosts, and returns the key that they share. It
	// tries until it succeeds or the context ends.
	Join  func(ctx context.Context, log log.Interface) ([]byte, error)
	Codec gateway.Codec
	Mover gateway.Mover
	// FollowStore keeps the control goroutine informed until the context ends.
	FollowStore   func(ctx context.Context, loop *edgecontrol.Loop, log log.Interface)
	RetryBudget   retrybudget.Limits
	MaxConfigAge  time.Duration // see gateway.Options
	ShutdownGrace time.Duration // from the signal to stop until the process is killed
	Output        io.Writer     // of the log
}
