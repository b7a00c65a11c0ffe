package platformserver

import "siskintide.example/siskintide/tools/standin/fault"

const (
	FaultSlow       fault.Kind = "slow"
	FaultDown       fault.Kind = "down"
	FaultLoseAnswer fault.Kind = "lose_answer"
	FaultDrop       fault.Kind = "drop"
	FaultCut        fault.Kind = "cut"
)
