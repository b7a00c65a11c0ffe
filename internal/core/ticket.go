package core

import "time"

// Ticket is the right to run one generation on one incarnation of one target. It counts
// as used at the owner from its issue until it is closed or the target's own list of
// running streams proves that it is not in use.
type Ticket struct {
	Generation  GenerationID
	Owner       HostID
	Target      TargetID
	Address     string // IP and port of the target
	Incarnation Incarnation
	Fence       Fence
	Priority    Priority
	ValidFor    time.Duration // time to start in, counted by the entry host from before it sent the demand
}
