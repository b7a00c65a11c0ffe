package plan

import "siskintide.example/siskintide/internal/core"

// Intent is one change requested by an operator. Only the fields that its kind needs are
// set.
type Intent struct {
	Kind         Kind              `json:"kind"`
	DataCentre   core.DataCentreID `json:"data_centre,omitempty"`  // take-out, return
	Targets      []core.TargetID   `json:"targets,omitempty"`      // drain, undrain
	Model        core.ModelID      `json:"model,omitempty"`        // bring-in
	Version      core.ModelVersion `json:"version,omitempty"`      // bring-in
	WeightBytes  int64             `json:"weight_bytes,omitempty"` // bring-in; 0 keeps the declared size
	Declarations *core.Config      `json:"declarations,omitempty"` // apply
	// AcceptOverload allows a plan that loads the remaining targets beyond their warm
	// bounds. It is part of the plan's identity.
	AcceptOverload bool `json:"accept_overload,omitempty"`
	// AcceptUnserved allows a plan that leaves a model or service without any target that
	// takes work, for example before its removal. It is part of the plan's identity.
	AcceptUnserved bool `json:"accept_unserved,omitempty"`
}
