package engine

import "siskintide.example/siskintide/internal/core"

// ModelState describes one model version that an engine has loaded or is loading.
type ModelState struct {
	Model    core.ModelID      `json:"model"`
	Version  core.ModelVersion `json:"version"`
	Adapters []string          `json:"adapters,omitempty"`
	State    string            `json:"state"` // "loading" or "ready"
}
