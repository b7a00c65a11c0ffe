package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// poll is the state of the load polls of one owned target.
type poll struct {
	next     time.Time
	inFlight bool
	last     core.LoadReport
	failed   bool
}
