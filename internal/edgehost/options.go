package edgehost

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/decide/retrybudget"
	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/gateway"
)

// Options configures a Host. All fields but MetricsAddress, Rollout and NewResources are required.
type Options struct {
	Self           core.Host
	CallersAddress string // address of the callers' listener
	ReadyAddress   string // address of the readiness check
	ReadyPath      string
	MetricsAddress string // address of the metrics; empty for none
	// Listen opens a TCP listener, as net.Listen does. Tests pass listeners that are already
	// open, so that no other process can take the port in between.
	Listen func(network, address string) (net.Listener, error)
	// Join adds this host to the list of hosts and returns the key that the hosts share. It
	// retries until it succeeds or the context ends.
	Join  func(ctx context.Context, log log.Interface) ([]byte, error)
	Codec gateway.Codec
	Mover gateway.Mover
	// Reporter asks engines for their reports while the registry is out of date.
	Reporter gateway.Reporter
	// FollowStore reads the platform's store and passes the results to the loop until the
	// context ends.
	FollowStore  func(ctx context.Context, loop *edgecontrol.Loop, log log.Interface)
	RetryBudget  retrybudget.Limits
	MaxConfigAge time.Duration // see gateway.Options.MaxConfigAge
	// Resources bound the connections and the memory for the clients of all listeners.
	Resources     callerbudget.Resources
	NewResources  <-chan callerbudget.Resources // later ones, which apply at once; nil for none
	Rollout       *RolloutOptions               // nil if versions of targets do not matter
	ShutdownGrace time.Duration                 // from the signal to stop until the process is killed
	Output        io.Writer                     // destination of the log
}
