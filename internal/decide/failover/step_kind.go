package failover

// StepKind is the kind of a Step.
type StepKind uint8

const (
	// Wait means that there is nothing to do before Step.At unless an event is recorded.
	Wait StepKind = iota + 1
	// SwitchToCopy continues the generation on the engine that holds the copy.
	SwitchToCopy
	// PrecopyMemory copies the memory to another engine while the generation keeps running.
	PrecopyMemory
	// StopAndCopyMemory stops the generation and copies what changed since the pre-copy.
	StopAndCopyMemory
	// SwitchToMoved continues the generation on the engine that its memory was moved to.
	SwitchToMoved
	// StopLostRun asks the engine whose connection has ended to stop the generation.
	StopLostRun
	// StopFailedSwitch asks the engine that failed to go on with the generation to stop it.
	StopFailedSwitch
	// Rerun sends the request to another engine, which goes on after the last event that was passed on.
	Rerun
	// GiveUp means that the generation is lost.
	GiveUp
	// Finish means that the generation has ended by itself.
	Finish
)
