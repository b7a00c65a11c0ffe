package forecast

import "siskintide.example/siskintide/internal/core"

// Key selects the survival curve of one team's requests of one class.
type Key struct {
	Team  core.TeamID
	Class core.Class
}
