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

// statuses maps the type of a refusal to its HTTP status.
var statuses = map[core.RefusalKind]int{
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

// refuse answers a request with a refusal. Nothing has been written before.
func (f *Front) refuse(w http.ResponseWriter, from *caller, refusal *core.Refusal) {
	f.note(from, refusal)
	status, ok := statuses[refusal.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, status, errorBody{Error: detailOf(refusal)})
}

// systemFailures are the refusals that operators should see one by one.
var systemFailures = map[core.RefusalKind]bool{
	core.RefusedTargetFailed:        true,
	core.RefusedDiverged:            true,
	core.RefusedStreamGone:          true,
	core.RefusedOutcomeUnknown:      true,
	core.RefusedPlatformUnavailable: true,
}

// note counts a refusal and logs it if it is a failure of the system.
func (f *Front) note(from *caller, refusal *core.Refusal) {
	f.options.Metrics.Refused(from.team, from.class.ID, refusal.Kind)
	if !systemFailures[refusal.Kind] {
		return
	}
	fields := log.Fields{"type": refusal.Kind, "run": refusal.Run, "team": from.team, "class": from.class.ID}
	f.options.Log.WithFields(fields).Warn(refusal.Message)
}

func detailOf(refusal *core.Refusal) errorDetail {
	return errorDetail{
		Type:         refusal.Kind,
		Message:      refusal.Message,
		Run:          refusal.Run,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	}
}

// writeJSON writes a whole answer. A failure means that the caller has left.
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
