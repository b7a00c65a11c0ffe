package plan

// Warning is a consequence that the operator should weigh but that does not refuse the plan.
type Warning struct {
	Kind   WarningKind `json:"kind"`
	Detail string      `json:"detail"`
}
