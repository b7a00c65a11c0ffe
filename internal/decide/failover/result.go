package failover

// Result reports whether a step other than Wait had its effect.
type Result uint8

const (
	// Done means that the step had its effect.
	Done Result = iota + 1
	// NotDone means that the step certainly had no effect.
	NotDone
	// Unknown means that no answer arrived, so the step may or may not have had its effect.
	Unknown
	// StoppedOnly means that the engine does not run the generation any more, and that its memory has not been moved.
	StoppedOnly
	// InProgress means that the engine still carries out an earlier step.
	InProgress
	// NoRun means that the engine knows no run of the request now. It may still begin one that it has not been seen to run.
	NoRun
)
