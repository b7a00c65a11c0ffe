package fault

import "time"

// active is a fault that is being shown.
type active struct {
	order     Spec
	until     time.Time // zero means until cleared
	shown     int
	occasions int
}
