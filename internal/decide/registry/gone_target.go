package registry

import "time"

const (
	// goneTTL is how long a removed target is remembered. A store that is restored comes back from a
	// copy that is some seconds old.
	goneTTL = time.Minute
	// leavingTTL is how long it is remembered that a target has said that it leaves. Targets are gone
	// some seconds later.
	leavingTTL = 10 * time.Minute
)

// goneTarget is a target that has left, or is about to.
type goneTarget struct {
	born int64         // see core.Registration.Born
	at   time.Duration // when this became known
}
