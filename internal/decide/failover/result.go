package failover

// Result says how a step that takes time ended.
type Result uint8

const (
	// Done means that the step had its effect.
	Done Result = iota + 1
	// NotDone means that the step certainly had no effect.
	NotDone
	// Unknown means that no answer tells whether it had one.
	Unknown
)
