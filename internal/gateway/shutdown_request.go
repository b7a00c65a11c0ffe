package gateway

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/shutdown"
)

const (
	// typicalTokenTime is the time per output token on an engine with a typical load.
	typicalTokenTime = 9 * time.Millisecond
	// typicalPromptTokenTime is the time per prompt token on such an engine.
	typicalPromptTokenTime = 72 * time.Microsecond
)

// requestContext returns a context that ends shortly before the request's deadline, with its caller's
// connection, or when this host stops.
func (h *requestHandler) requestContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(h.r.Context(), h.timeLeft()-responseMargin)
	detach := context.AfterFunc(h.gateway.options.Stopping, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// shutdownRefusal returns the refusal of a request that this host could not finish before it stops, or nil.
func (h *requestHandler) shutdownRefusal() *core.Refusal {
	schedule := h.gateway.options.Controller.View().Shutdown
	if schedule.Admits(h.shutdownRequest(), h.now()) {
		return nil
	}
	return leavingRefusal()
}

// shutdownRequest returns what the decision on a request in a shutdown needs to know.
func (h *requestHandler) shutdownRequest() shutdown.Request {
	request := shutdown.Request{TimeLeft: h.timeLeft()}
	if h.route.Kind == core.RouteStream && h.request.ForecastTokens() > 0 {
		request.Expected = h.generationTime(h.request.ForecastTokens())
	}
	if h.route.Kind == core.RouteStream && h.request.MaxTokens > 0 {
		request.Longest = h.generationTime(h.request.MaxTokens)
	}
	return request
}

// generationTime returns the typical duration of a generation of the given length.
func (h *requestHandler) generationTime(output core.Tokens) time.Duration {
	return time.Duration(h.request.PromptTokens)*typicalPromptTokenTime + time.Duration(output)*typicalTokenTime
}
