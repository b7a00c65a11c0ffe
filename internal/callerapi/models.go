package callerapi

import (
	"net/http"

	"siskintide.example/siskintide/internal/core"
)

// models returns the list of configured models.
func (h *Handler) models(w http.ResponseWriter, _ *http.Request, from *caller) *core.Refusal {
	body := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range from.view.Catalog.Config.Models {
		body.Data = append(body.Data, modelEntry{ID: model.ID, Object: "model", OwnedBy: "operator"})
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}
