package fault

import "time"

// activeFault is a fault in effect.
type activeFault struct {
	spec      Spec
	until     time.Time // zero means until cleared
	triggered int       // how often the fault was injected
	occasions int       // how often it could have been injected
}
