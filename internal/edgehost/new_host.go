package edgehost

import (
	"context"
	"net/http"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/eventlog"
	"siskintide.example/siskintide/internal/gateway"
	"siskintide.example/siskintide/internal/telemetry"
)

func newHost(options Options) *Host {
	h := &Host{options: options, sink: eventlog.NewSink(clockwork.NewRealClock()), metrics: telemetry.NewRegistry()}
	h.log = &log.Logger{Handler: jsonlog.New(h.sink), Level: log.InfoLevel}
	entry := h.log.WithField("host", options.Self.ID)
	h.stopping, h.endRequests = context.WithCancel(context.Background())
	h.limiters = h.newLimiters()
	h.linker = &linker{self: options.Self, log: entry, limiter: h.limiters[callerbudget.Peers]}
	h.loop = edgecontrol.NewLoop(edgecontrol.Options{
		Self:         options.Self,
		RetryBudget:  options.RetryBudget,
		Clock:        boottime.Now,
		Log:          entry,
		Metrics:      telemetry.NewPlacementMetrics(h.metrics.Scope),
		Send:         h.linker.Send,
		SetPeers:     h.linker.SetPeers,
		MaxConfigAge: options.MaxConfigAge,
		Rollout:      h.rollout(),
		PaceMetrics:  telemetry.NewPaceMetrics(h.metrics.Scope),
	})
	h.gateway = gateway.New(gateway.Options{
		Controller:   h.loop,
		Codec:        options.Codec,
		Mover:        options.Mover,
		Reporter:     options.Reporter,
		Metrics:      telemetry.NewRequestMetrics(h.metrics.Scope),
		Log:          entry,
		Clock:        boottime.Now,
		MaxConfigAge: options.MaxConfigAge,
		BodyMemory:   options.Resources.BodyMemory(),
		Memory:       h.limiters[callerbudget.Callers],
		Stopping:     h.stopping,
	})
	h.callers = &http.Server{Handler: h.gateway}
	return h
}

// rollout returns the options of rollouts for the control goroutine, or nil if they are not in force.
func (h *Host) rollout() *edgecontrol.RolloutOptions {
	options := h.options.Rollout
	if options == nil {
		return nil
	}
	return &edgecontrol.RolloutOptions{
		Bounds:  options.Bounds,
		Metrics: telemetry.NewRolloutMetrics(h.metrics.Scope),
		Write: func(write edgecontrol.RolloutWrite) {
			h.running.Go(func() { h.loop.HandleRolloutWritten(write, options.Write(h.stopping, write)) })
		},
	}
}
