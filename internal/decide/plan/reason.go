package plan

// Reason is the machine-readable cause of a refusal.
type Reason string

const (
	// UnknownObject means that the intent names something that is not declared.
	UnknownObject Reason = "unknown_object"
	// MalformedIntent means that the intent lacks a field that its kind needs.
	MalformedIntent Reason = "malformed_intent"
	// NothingToChange means that the configuration already matches the intent.
	NothingToChange Reason = "nothing_to_change"
	// LastOfPool means that a model or service would be left without any target.
	LastOfPool Reason = "last_of_pool"
	// Overload means that the remaining targets would be loaded beyond their warm bounds.
	Overload Reason = "overload"
	// WeightsTooLarge means that weights do not fit a target's kind.
	WeightsTooLarge Reason = "weights_too_large"
	// StillTakingWork means that a target that still takes work would be removed.
	StillTakingWork Reason = "still_taking_work"
	// InvalidResult means that the changed configuration would not be consistent.
	InvalidResult Reason = "invalid_result"
)
