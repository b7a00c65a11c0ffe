package daemon

import (
	"net/http"

	"siskintide.example/siskintide/internal/controlapi"
)

// health serves the liveness and readiness checks of this host.
type health struct {
	controller controlapi.Controller
}

// live responds 200 while the process runs.
func (h health) live(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("ok\n"))
}

// ready responds 200 while the host takes new callers: a configuration is in force and the
// host is not leaving.
func (h health) ready(w http.ResponseWriter, _ *http.Request) {
	view := h.controller.Snapshot()
	switch {
	case view.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case view.Catalog == nil:
		http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
	default:
		h.live(w, nil)
	}
}
