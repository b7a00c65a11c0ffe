package serviceserver

import "siskintide.example/siskintide/tools/standin/fault"

// The supported faults. The package documentation describes them.
const (
	FaultLate fault.Kind = "late"
	FaultDie  fault.Kind = "die"
	FaultDrop fault.Kind = "drop"
	FaultKill fault.Kind = "kill"
	FaultSick fault.Kind = "sick"
)
