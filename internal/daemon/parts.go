package daemon

import (
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/control"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/settings"
)

// readHeaderTimeout bounds the time to read a request header on the peer and admin
// listeners.
const readHeaderTimeout = 5 * time.Second

// newLogger writes JSON lines to standard error, each with the host's name.
func newLogger(s *settings.Settings) log.Interface {
	logger := &log.Logger{Handler: jsonlog.New(os.Stderr), Level: log.InfoLevel}
	if level, err := log.ParseLevel(s.LogLevel); err == nil {
		logger.Level = level
	}
	return logger.WithFields(log.Fields{"host": s.Host, "data_centre": s.DataCentre})
}

// internalServer returns an HTTP server for peers or operators.
func internalServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

func controlSettings(s *settings.Settings) control.Settings {
	chosen := control.DefaultSettings()
	chosen.Heartbeat = time.Duration(s.Timing.Heartbeat)
	return chosen
}

func ownershipTiming(s *settings.Settings) ownership.Timing {
	timing := ownership.DefaultTiming()
	timing.LeaseTTL = time.Duration(s.Timing.Lease)
	timing.RenewInterval = timing.LeaseTTL / 3
	timing.RetryDelay = timing.LeaseTTL / 10
	timing.PendingReadInterval = timing.LeaseTTL / 5
	timing.ClockMargin = time.Duration(s.Timing.ClockMargin)
	return timing
}

// jitterSeed returns the seed of the jitter that spreads the hosts' reads of the
// configuration's head.
func jitterSeed(session core.SessionID) uint64 { return xxhash.Sum64String(string(session)) }
