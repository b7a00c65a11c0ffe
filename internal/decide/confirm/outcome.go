package confirm

// Outcome is the way in which a confirmation ended.
type Outcome string

const (
	// Accepted means that the plan is part of the accepted configuration.
	Accepted Outcome = "accepted"
	// AlreadyAccepted means that the plan had been accepted before; nothing was changed.
	AlreadyAccepted Outcome = "repeated"
	// Conflicted means that another change was accepted first; the plan had no effect and never
	// will.
	Conflicted Outcome = "changed_underneath"
	// Refused means that the plan is now refused; it had no effect.
	Refused Outcome = "refused"
	// Unavailable means that the platform was not reached and nothing was sent that could take effect.
	Unavailable Outcome = "platform_unavailable"
	// Unknown means that the plan may still take effect; the same confirmation may be repeated.
	Unknown Outcome = "outcome_unknown"
)
