package failover

import "time"

// Step is the action to take next.
type Step struct {
	Kind StepKind
	At   time.Duration // for Wait: when to call Next again; zero means only after an event
}
