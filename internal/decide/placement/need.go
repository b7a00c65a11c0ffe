package placement

import "siskintide.example/siskintide/internal/core"

// Need is what a request asks of a target.
type Need struct {
	Request    string // id of the request; spreads requests over equal targets
	DataCentre core.DataCentreID
	Memory     core.Tokens // forecast memory at the generation's end; zero for calls
	WantsCopy  bool        // a second target shall keep a copy
	Avoid      []core.TargetID
}

func (n Need) avoids(id core.TargetID) bool {
	for _, avoided := range n.Avoid {
		if avoided == id {
			return true
		}
	}
	return false
}
