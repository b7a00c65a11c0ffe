package plan

import "siskintide.example/siskintide/internal/core"

// TargetLoad is the known load of one target.
type TargetLoad struct {
	Target   core.TargetID `json:"target"`
	Owner    core.HostID   `json:"owner,omitempty"` // empty means unknown
	Limit    int           `json:"limit"`           // streams that may run now; grows while the target warms up
	Streams  int           `json:"streams"`         // running and queued
	Memory   core.Tokens   `json:"memory"`          // in use
	Forecast core.Tokens   `json:"forecast"`        // forecast peak of the memory of the running streams
}
