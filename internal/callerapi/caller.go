package callerapi

import (
	"net/http"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/snapshot"
)

const (
	// headerClass names the request's class.
	headerClass = "Request-Class"
	// headerLastEvent names the last event that a resuming caller has.
	headerLastEvent = "Last-Event-ID"
	// maxKeyBytes bounds an API key that is looked at.
	maxKeyBytes = 512
	// leavingRetry is when a caller refused by a leaving host may try another one.
	leavingRetry = 100 * time.Millisecond
)

// caller is the origin of one request.
type caller struct {
	team  core.TeamID
	class core.ClassSpec
	view  *snapshot.Snapshot
}

// identify finds the team and class of a request. A host that leaves or has no
// configuration yet takes no callers.
func (f *Front) identify(r *http.Request) (*caller, *core.Refusal) {
	view := f.options.Controller.Snapshot()
	if view.Leaving || view.Catalog == nil {
		return &caller{}, &core.Refusal{Kind: core.RefusedLeaving, Message: "this host takes no callers; use another one", Run: core.NotRun, RetryAfter: leavingRetry}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || len(key) > maxKeyBytes {
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

func unauthorized() *core.Refusal {
	return &core.Refusal{Kind: core.RefusedUnauthorized, Message: "an API key is needed as Authorization: Bearer", Run: core.NotRun}
}
