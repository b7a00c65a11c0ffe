package platformserver

import "siskintide.example/siskintide/tools/standin/fault"

// The supported faults. The package documentation describes them.
const (
	FaultSlow       fault.Kind = "slow"
	FaultDown       fault.Kind = "down"
	FaultLoseAnswer fault.Kind = "lose_answer"
	FaultDrop       fault.Kind = "drop"
	FaultCut        fault.Kind = "cut"
)
