package engine

import "siskintide.example/siskintide/internal/core"

// State is an engine's report of its role and models.
type State struct {
	Incarnation core.Incarnation `json:"incarnation"`
	Role        string           `json:"role"`
	Fence       core.Fence       `json:"fence"` // fence of the last order accepted
	Models      []ModelState     `json:"models"`
}

// Ready reports whether the engine has the model version loaded.
func (s State) Ready(model core.ModelID, version core.ModelVersion) bool {
	for _, m := range s.Models {
		if m.Model == model && m.Version == version && m.State == "ready" {
			return true
		}
	}
	return false
}
