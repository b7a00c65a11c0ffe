package failover

// StepKind is what a stream does next.
type StepKind uint8

const (
	// Wait means that nothing is to be done before Step.At, unless something happens.
	Wait StepKind = iota + 1
	// SwitchToCopy goes on at the holder of the copy.
	SwitchToCopy
	// PrecopyMemory copies the memory to another engine while the generation runs on.
	PrecopyMemory
	// StopAndCopyMemory stops the generation and copies what the move ahead has left.
	StopAndCopyMemory
	// SwitchToMoved goes on where the memory was moved to.
	SwitchToMoved
	// GiveUp means that the generation is lost.
	GiveUp
)
