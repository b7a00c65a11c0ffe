package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// notRunRefusal returns a refusal that states that the request was not run and will not be.
func notRunRefusal(kind core.RefusalKind, message string, retryAfter time.Duration) *core.Refusal {
	return &core.Refusal{Kind: kind, Message: message, Run: core.NotRun, RetryAfter: retryAfter}
}

// leavingRefusal returns the refusal of a request for which this host has too little time left.
func leavingRefusal() *core.Refusal {
	return notRunRefusal(core.RefusedLeaving, "the host shuts down", retrySoon)
}

// placementRefusal returns the refusal of a request to which no target was assigned for a reason that ends
// at a known time, or because all targets are limited. It returns nil for any other assignment.
func placementRefusal(assignment edgecontrol.Assignment) *core.Refusal {
	switch {
	case assignment.RateLimited:
		return notRunRefusal(core.RefusedRateLimited, "the rate limits of all targets are used up", max(assignment.RetryAfter, retrySoon))
	case assignment.Target.Target == "" && assignment.RetryAfter > 0:
		return notRunRefusal(core.RefusedNoCapacity, "all targets have asked to be sent nothing for a while", assignment.RetryAfter)
	default:
		return nil
	}
}

// httpStatus returns the HTTP status of a refusal. A request that may have run gets 502 or
// 504; the other statuses promise that it was not run, so that it may be sent again.
func httpStatus(refusal *core.Refusal) int {
	if refusal.Kind == core.RefusedPromptHeld && refusal.Run != core.NotRun {
		return http.StatusBadGateway
	}
	switch refusal.Kind {
	case core.RefusedBadRequest:
		return http.StatusBadRequest
	case core.RefusedUnauthorized:
		return http.StatusUnauthorized
	case core.RefusedUnknownRoute:
		return http.StatusNotFound
	case core.RefusedSlowBody:
		return http.StatusRequestTimeout
	case core.RefusedTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.RefusedHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case core.RefusedOutcomeUnknown:
		return http.StatusGatewayTimeout
	case core.RefusedTargetFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse sends a refusal to the caller and logs it.
func (h *requestHandler) refuse(refusal *core.Refusal) {
	header := h.w.Header()
	for name := range header {
		if name != "Connection" {
			header.Del(name)
		}
	}
	body, err := json.Marshal(refusalBody{Type: refusal.Kind, Message: refusal.Message, Run: refusal.Run})
	if err != nil {
		h.log.WithError(err).Error("refusal could not be encoded")
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	retryAfter := 0.0
	if refusal.RetryAfter > 0 {
		retryAfter = refusal.RetryAfter.Seconds()
	}
	h.gateway.options.Codec.EncodeRefusal(header, retryAfter)
	if h.gateway.options.Controller.View().Leaving() {
		header.Set("Connection", "close")
	}
	h.allowLateWrite()
	h.w.WriteHeader(httpStatus(refusal))
	_, writeErr := h.w.Write(body)
	h.logRefusal(refusal, writeErr)
}

func (h *requestHandler) logRefusal(refusal *core.Refusal, writeErr error) {
	entry := h.log.WithField("kind", refusal.Kind).WithField("run", refusal.Run).
		WithField("cause", refusal.Message).WithField("sends", h.attempts).
		WithField("took_ms", (h.now() - h.arrived).Milliseconds())
	if refusal.RetryAfter > 0 {
		entry = entry.WithField("retry_after_ms", refusal.RetryAfter.Milliseconds())
	}
	if view := h.gateway.options.Controller.View(); view.Table != nil {
		age, _ := view.ConfigProof.Age(h.now())
		entry = entry.WithField("revision", view.Table.Config.Revision).WithField("config_age_ms", age.Milliseconds())
	}
	if writeErr != nil {
		entry = entry.WithError(writeErr)
	}
	entry.Warn("request refused")
	class := core.Class("unrouted")
	if h.route != nil {
		class = h.class()
	}
	h.gateway.options.Metrics.Refused(h.teamID(), class, refusal.Kind)
}
