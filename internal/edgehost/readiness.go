package edgehost

import (
	"net/http"

	"siskintide.example/siskintide/internal/boottime"
)

// ready responds 200 while the host takes new callers: the registry has been read, the
// configuration is fresh, and the host is not leaving.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	view := h.loop.View()
	switch {
	case view.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case view.VersionsUnknown || !view.RegistryLoaded || !view.ConfigFresh(boottime.Now(), h.options.MaxConfigAge):
		http.Error(w, "configuration or registry is not known to be recent", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
