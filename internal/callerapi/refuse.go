package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
)

// httpStatuses maps the kind of a refusal to its HTTP status.
var httpStatuses = map[core.RefusalKind]int{
	core.RefusedBadRequest:          http.StatusBadRequest,
	core.RefusedUnauthorized:        http.StatusUnauthorized,
	core.RefusedUnknownModel:        http.StatusNotFound,
	core.RefusedUnknownService:      http.StatusNotFound,
	core.RefusedTooLarge:            http.StatusRequestEntityTooLarge,
	core.RefusedQueueFull:           http.StatusTooManyRequests,
	core.RefusedQueueTimeout:        http.StatusServiceUnavailable,
	core.RefusedNoCapacity:          http.StatusServiceUnavailable,
	core.RefusedLeaving:             http.StatusServiceUnavailable,
	core.RefusedStaleTicket:         http.StatusServiceUnavailable,
	core.RefusedTargetFailed:        http.StatusBadGateway,
	core.RefusedDiverged:            http.StatusBadGateway,
	core.RefusedStreamGone:          http.StatusGone,
	core.RefusedKeyConflict:         http.StatusUnprocessableEntity,
	core.RefusedKeyMissing:          http.StatusBadRequest,
	core.RefusedInProgress:          http.StatusConflict,
	core.RefusedOutcomeUnknown:      http.StatusBadGateway,
	core.RefusedPlatformUnavailable: http.StatusServiceUnavailable,
}

func badRequest(format string, args ...any) *core.Refusal {
	return &core.Refusal{Kind: core.RefusedBadRequest, Message: fmt.Sprintf(format, args...), Run: core.NotRun}
}

// refuse writes a refusal as the response. Nothing may have been written before.
func (h *Handler) refuse(w http.ResponseWriter, from *caller, refusal *core.Refusal) {
	h.recordRefusal(from, refusal)
	status, ok := httpStatuses[refusal.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, status, errorBody{Error: newErrorDetail(refusal)})
}

// loggedRefusals are the kinds of refusals that are logged one by one, because they are
// failures of the system.
var loggedRefusals = map[core.RefusalKind]bool{
	core.RefusedTargetFailed:        true,
	core.RefusedDiverged:            true,
	core.RefusedStreamGone:          true,
	core.RefusedOutcomeUnknown:      true,
	core.RefusedPlatformUnavailable: true,
}

// recordRefusal counts a refusal, and logs it if it is a failure of the system.
func (h *Handler) recordRefusal(from *caller, refusal *core.Refusal) {
	h.options.Metrics.Refused(from.team, from.class.ID, refusal.Kind)
	if !loggedRefusals[refusal.Kind] {
		return
	}
	fields := log.Fields{"type": refusal.Kind, "run": refusal.Run, "team": from.team, "class": from.class.ID}
	h.options.Log.WithFields(fields).Warn(refusal.Message)
}

func newErrorDetail(refusal *core.Refusal) errorDetail {
	return errorDetail{
		Type:         refusal.Kind,
		Message:      refusal.Message,
		Run:          refusal.Run,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	}
}

// writeJSON writes a complete JSON response. A write error means that the caller has
// disconnected, and is ignored.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
