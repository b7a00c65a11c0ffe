package fairness

import (
	"siskintide.example/siskintide/internal/core"
)

// account is the state of one team in the queue.
type account struct {
	team    core.TeamID
	weight  float64
	virtual float64 // virtual time: tokens served divided by the weight
	waiting map[core.Priority][]*Entry
	entries int // number of waiting requests
}
