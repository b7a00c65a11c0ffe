package engineserver

import "time"

// modelEntry is one model version that is loaded or loading.
type modelEntry struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	State    string   `json:"state"`
	readyAt  time.Time
}
