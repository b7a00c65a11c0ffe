package placement

import "siskintide.example/siskintide/internal/core"

// Candidate is a target that may take requests now.
type Candidate struct {
	Target     core.TargetID
	Address    string // IP and port
	DataCentre core.DataCentreID
	Slots      int
	Memory     core.Tokens // zero for plain services
}
