package edgehost

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/eventlog"
	"siskintide.example/siskintide/internal/gateway"
	"siskintide.example/siskintide/internal/telemetry"
)

// logFlushTimeout bounds the time to flush the log at exit.
const logFlushTimeout = 200 * time.Millisecond

// Host is one running host process.
type Host struct {
	options         Options
	log             *log.Logger
	sink            *eventlog.Sink
	metrics         *telemetry.Registry
	loop            *edgecontrol.Loop
	limiters        map[callerbudget.Listener]*callerlimit.Limiter // not changed once the host has started
	gateway         *gateway.Gateway
	linker          *linker
	callers         *http.Server
	internalServers []*http.Server
	running         sync.WaitGroup
	stopping        context.Context // ends when all requests that are still served get their responses
	endRequests     context.CancelFunc
}

// Run serves until the context ends, then shuts down gracefully. It returns an error when
// a listener could not be opened.
func Run(ctx context.Context, options Options) error {
	h := newHost(options)
	runCtx, cancel := context.WithCancel(context.Background())
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		h.sink.Run(logCtx, options.Output)
	}()
	err := h.start(runCtx)
	if err == nil {
		h.log.WithField("callers", options.CallersAddress).WithField("data_centre", options.Self.DataCentre).Info("host started")
		<-ctx.Done()
		h.shutDown()
	}
	h.closeAll()
	cancel()
	h.running.Wait()
	h.log.Info("host stopped")
	stopLog()
	select {
	case <-logDone:
	case <-time.After(logFlushTimeout):
	}
	return err
}
