package forecast

import "siskintide.example/siskintide/internal/core"

// Key identifies the requests of one team and class, whose output lengths are estimated
// together.
type Key struct {
	Team  core.TeamID
	Class core.Class
}
