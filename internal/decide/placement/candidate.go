package placement

import "siskintide.example/siskintide/internal/core"

// Candidate is a target that may take requests now.
type Candidate struct {
	Target     core.TargetID
	Address    string // IP address and port
	DataCentre core.DataCentreID
	Slots      int          // number of requests that counts as full load
	Memory     core.Tokens  // zero for plain services
	Version    core.Version // of the software that the target runs
	Limited    bool         // the target is in need and takes only a limited rate of requests
}
