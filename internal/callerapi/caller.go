package callerapi

import (
	"net/http"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/snapshot"
)

const (
	// headerClass carries the class of the request.
	headerClass = "Request-Class"
	// headerLastEventID carries the id of the last event that the caller has received, to
	// resume a stream after it.
	headerLastEventID = "Last-Event-ID"
	// maxAPIKeyBytes limits an API key. Longer keys are rejected without a lookup.
	maxAPIKeyBytes = 512
	// leavingRetryAfter is the delay after which a caller refused by a leaving host may
	// try another host.
	leavingRetryAfter = 100 * time.Millisecond
)

// caller is the team and class of one request, with the control state against which the
// request is checked.
type caller struct {
	team  core.TeamID
	class core.ClassSpec
	view  *snapshot.Snapshot
}

// identify returns the team and class of a request. A host that is leaving or has no
// configuration yet refuses all callers.
func (h *Handler) identify(r *http.Request) (*caller, *core.Refusal) {
	view := h.options.Controller.Snapshot()
	if view.Leaving || view.Catalog == nil {
		return &caller{}, leaving()
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || len(key) > maxAPIKeyBytes {
		return &caller{}, unauthorized()
	}
	team := view.Catalog.TeamByKey(key)
	if team == nil {
		return &caller{}, unauthorized()
	}
	name := core.Class(r.Header.Get(headerClass))
	if name == "" {
		name = team.Class
	}
	class := view.Catalog.Class(name)
	if class == nil {
		return &caller{team: team.ID, view: view}, badRequest("unknown request class %.40q", name)
	}
	return &caller{team: team.ID, class: *class, view: view}, nil
}

// refuseIfLeaving returns the refusal of a request whose body has become complete after the host began to leave.
func (h *Handler) refuseIfLeaving() *core.Refusal {
	if !h.options.Controller.Snapshot().Leaving {
		return nil
	}
	return leaving()
}

func leaving() *core.Refusal {
	return &core.Refusal{Kind: core.RefusedLeaving, Message: "this host takes no callers; use another one", Run: core.NotRun, RetryAfter: leavingRetryAfter}
}

func unauthorized() *core.Refusal {
	return &core.Refusal{Kind: core.RefusedUnauthorized, Message: "an API key is needed as Authorization: Bearer", Run: core.NotRun}
}
