package ownership

import "time"

// faultKind is a kind of fault that lasts for a limited time.
type faultKind int

const (
	pauseHost     faultKind = iota // the process does not run
	cutPlatform                    // the host cannot reach the platform
	cutPeers                       // the host and its peers cannot reach each other
	outage                         // no host can reach the platform
	slowPlatform                   // responses take seconds
	lostResponses                  // writes take effect, but their responses are lost
	lateWrites                     // responses are lost, and writes take effect seconds later
	replaceHost                    // a new process replaces the old one, which never runs again
	leaveHost                      // graceful shutdown, then a new process
	faultKinds
)

// fault is one entry of a fault schedule.
type fault struct {
	Kind  faultKind
	Host  int
	Start time.Duration
	End   time.Duration
}
