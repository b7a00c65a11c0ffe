package plan

// Warning is a consequence that the operator should consider. It does not prevent the plan.
type Warning struct {
	Kind   WarningKind `json:"kind"`
	Detail string      `json:"detail"`
}
