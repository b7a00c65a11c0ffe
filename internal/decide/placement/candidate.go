package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Candidate is a target that may take requests now.
type Candidate struct {
	Target     core.TargetID
	Address    string // IP and port
	DataCentre core.DataCentreID
	Slots      int
	Memory     core.Tokens   // zero for plain services
	Cold       bool          // it started a short time ago
	Age        time.Duration // since it registered first; zero if unknown
}
