package engineserver

import "siskintide.example/siskintide/tools/standin/fault"

// The supported faults. The package documentation describes them.
const (
	FaultKill             fault.Kind = "kill"
	FaultExit             fault.Kind = "exit"
	FaultFreeze           fault.Kind = "freeze"
	FaultReclaim          fault.Kind = "reclaim"
	FaultCold             fault.Kind = "cold"
	FaultColdSilent       fault.Kind = "cold_silent"
	FaultOverloaded       fault.Kind = "overloaded"
	FaultNondeterministic fault.Kind = "nondeterministic"
	FaultLoseOrder        fault.Kind = "lose_order"
	FaultDuplicate        fault.Kind = "duplicate"
	FaultLate             fault.Kind = "late"
	FaultCrossed          fault.Kind = "crossed"
	FaultGap              fault.Kind = "gap"
	FaultStall            fault.Kind = "stall"
	FaultCut              fault.Kind = "cut"
)
