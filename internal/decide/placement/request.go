package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/prefixcache"
)

// Request is what a request for a target requires.
type Request struct {
	ID              string // breaks ties, so that requests spread over equal targets
	DataCentre      core.DataCentreID
	Memory          core.Tokens // forecast memory at the generation's end; zero for calls
	Prompt          core.Tokens // tokens to prefill before the first event; zero for calls
	WantsCopy       bool        // a second target should keep a copy
	TransfersMemory bool        // the KV cache is transferred from DataCentre, which takes twice as long to other data centres
	Avoid           []core.TargetID
	CopyAwayFrom    core.DataCentreID  // data centre in which a copy should not be kept; set by ChooseCopy
	Prefix          []core.PrefixPart  // parts of the prompt in order; empty unless the pool weighs prefixes
	query           *prefixcache.Query // for Prefix; set by Choose
	Pool            core.PoolID        // whose pace was learned; set with GapGoal
	Events          int                // forecast events of the stream; set with GapGoal
	GapGoal         time.Duration      // longest pause between events; zero if the pace of targets does not count
}

// Load returns the load that the request places on its target.
func (r Request) Load() Load { return Load{Requests: 1, Memory: r.Memory, PendingPrefill: r.Prompt} }

func (r Request) avoids(id core.TargetID) bool {
	for _, avoided := range r.Avoid {
		if avoided == id {
			return true
		}
	}
	return false
}
