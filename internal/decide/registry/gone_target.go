package registry

import "time"

// goneTTL is how long a removed target is remembered. A store that is restored comes back from a copy
// that is some seconds old.
const goneTTL = time.Minute

// goneTarget is a target whose entry was removed.
type goneTarget struct {
	born int64 // see core.Registration.Born
	at   time.Duration
}
