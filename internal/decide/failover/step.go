package failover

import "time"

// Step is the next thing to do.
type Step struct {
	Kind StepKind
	At   time.Duration // for Wait: when to ask again; zero means only after an event
}
