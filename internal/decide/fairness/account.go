package fairness

import (
	"siskintide.example/siskintide/internal/core"
)

// account is the state of one team.
type account struct {
	team    core.TeamID
	weight  float64
	virtual float64 // tokens served, divided by the weight
	waiting map[core.Priority][]*Entry
	entries int
}
