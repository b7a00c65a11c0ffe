package placement

import "siskintide.example/siskintide/internal/core"

// Need is what a request asks of a target.
type Need struct {
	Request    string // id of the request; spreads requests over equal targets
	DataCentre core.DataCentreID
	Memory     core.Tokens // forecast memory at the generation's end; zero for calls
	Prompt     core.Tokens // that has to be read before the first event; zero for calls
	WantsCopy  bool        // a second target shall keep a copy
	Near       bool        // memory has to get there from DataCentre, which takes twice as long to others
	Avoid      []core.TargetID
	Apart      core.DataCentreID // where a copy is better not kept
}

// Work returns the load of the request at its target.
func (n Need) Work() Load { return Load{Requests: 1, Memory: n.Memory, Starting: n.Prompt} }

func (n Need) avoids(id core.TargetID) bool {
	for _, avoided := range n.Avoid {
		if avoided == id {
			return true
		}
	}
	return false
}
