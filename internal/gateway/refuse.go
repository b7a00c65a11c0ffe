package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// notRun returns a refusal of a request that has not run and will not.
func notRun(kind core.RefusalKind, message string, retryAfter time.Duration) *core.Refusal {
	return &core.Refusal{Kind: kind, Message: message, Run: core.NotRun, RetryAfter: retryAfter}
}

// statusOf returns the HTTP status of a refusal. Only statuses that promise so are given
// to requests that have not run and may be sent again.
func statusOf(refusal *core.Refusal) int {
	switch refusal.Kind {
	case core.RefusedBadRequest:
		return http.StatusBadRequest
	case core.RefusedUnauthorized:
		return http.StatusUnauthorized
	case core.RefusedUnknownRoute:
		return http.StatusNotFound
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

// refuse answers the caller with a refusal and logs it.
func (j *job) refuse(refusal *core.Refusal) {
	header := j.w.Header()
	for name := range header {
		if name != "Connection" {
			header.Del(name)
		}
	}
	body, err := json.Marshal(refusalBody{Type: refusal.Kind, Message: refusal.Message, Run: refusal.Run})
	if err != nil {
		j.log.WithError(err).Error("refusal could not be encoded")
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	retryAfter := 0.0
	if refusal.RetryAfter > 0 {
		retryAfter = refusal.RetryAfter.Seconds()
	}
	j.gateway.options.Codec.EncodeRefusal(header, retryAfter)
	if j.gateway.options.Controller.View().Leaving {
		header.Set("Connection", "close")
	}
	j.w.WriteHeader(statusOf(refusal))
	_, writeErr := j.w.Write(body)
	j.logRefusal(refusal, writeErr)
}

func (j *job) logRefusal(refusal *core.Refusal, writeErr error) {
	entry := j.log.WithField("kind", refusal.Kind).WithField("run", refusal.Run).
		WithField("cause", refusal.Message).WithField("sends", j.sends).
		WithField("took_ms", (j.now() - j.arrived).Milliseconds())
	if view := j.gateway.options.Controller.View(); view.Table != nil {
		age, _ := view.ConfigProof.Age(j.now())
		entry = entry.WithField("revision", view.Table.Config.Revision).WithField("config_age_ms", age.Milliseconds())
	}
	if writeErr != nil {
		entry = entry.WithError(writeErr)
	}
	entry.Warn("request refused")
	class := core.Class("unrouted")
	if j.route != nil {
		class = j.class()
	}
	j.gateway.options.Metrics.Refused(j.teamID(), class, refusal.Kind)
}
