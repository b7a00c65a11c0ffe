package placement

import "siskintide.example/siskintide/internal/core"

// Request is what a request asks of a target.
type Request struct {
	ID              string // id of the request; spreads requests over equal targets
	DataCentre      core.DataCentreID
	Memory          core.Tokens // forecast memory at the generation's end; zero for calls
	Prompt          core.Tokens // that has to be read before the first event; zero for calls
	WantsCopy       bool        // a second target shall keep a copy
	TransfersMemory bool        // memory has to get there from DataCentre, which takes twice as long to others
	Avoid           []core.TargetID
	CopyAwayFrom    core.DataCentreID // where a copy is better not kept
}

// Load returns the load of the request at its target.
func (n Request) Load() Load { return Load{Requests: 1, Memory: n.Memory, PendingPrefill: n.Prompt} }

func (n Request) avoids(id core.TargetID) bool {
	for _, avoided := range n.Avoid {
		if avoided == id {
			return true
		}
	}
	return false
}
