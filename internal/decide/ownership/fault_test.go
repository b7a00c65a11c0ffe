package ownership

import "time"

// faultKind is something that goes wrong for a while.
type faultKind int

const (
	pauseHost    faultKind = iota // the process stands still
	cutPlatform                   // the host does not reach the platform
	cutPeers                      // the host does not reach its peers
	outage                        // nobody reaches the platform
	slowPlatform                  // answers take seconds
	lostAnswers                   // writes take effect, answers are lost
	lateWrites                    // answers are lost, writes take effect seconds later
	replaceHost                   // a new process takes the host's place; the old one goes on paused
	leaveHost                     // graceful shutdown, then a new process
	faultKinds
)

// fault is one entry of a schedule.
type fault struct {
	Kind  faultKind
	Host  int
	Start time.Duration
	End   time.Duration
}
