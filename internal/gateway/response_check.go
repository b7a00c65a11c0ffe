package gateway

import (
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// successClass is the first digit of the statuses of successes.
const successClass = 2

// checkOwner returns a *ResponseMismatchError if a response belongs to another request, and an
// *UnsignedResponseError if a success is not that of a target. A response without an id may be an earlier
// refusal that was written again, so it proves nothing if it says that the request was not run.
func (h *requestHandler) checkOwner(status int, info ResponseInfo) error {
	if info.RequestID != h.request.ID && (info.RequestID != "" || info.NotRun) {
		return &ResponseMismatchError{Want: h.request.ID, Got: info.RequestID}
	}
	if status/100 == successClass && !info.Signed {
		return &UnsignedResponseError{Status: status}
	}
	return nil
}

// isUnprovenRefusal reports whether the status of a response would promise the caller that the request was not
// run, though the target does not say so. A caller may send a request again after such a promise.
func (h *requestHandler) isUnprovenRefusal(response *bufferedResponse) bool {
	if response.NotRun || h.route.Kind == core.RouteIdempotent {
		return false
	}
	switch response.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// recordTargetState records what a target says of itself in its response to an attempt that was sent
// at sentAt. A misdirected attempt has reached another target.
func (h *requestHandler) recordTargetState(target core.TargetID, info ResponseInfo, sentAt time.Duration) {
	if info.Misdirected {
		return
	}
	h.rateLimit = info.RateLimit
	if info.Leaving && !h.gateway.options.Controller.View().TargetLeaves(target) {
		h.gateway.options.Controller.MarkLeaving(target)
	}
	if info.Rest > 0 {
		h.gateway.options.Controller.RecordRest(target, info.Rest)
	}
	h.gateway.options.Controller.RecordRateLimit(target, info.RateLimit, info.NotRun, sentAt)
}
