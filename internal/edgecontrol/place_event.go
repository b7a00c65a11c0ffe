package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// placeEvent asks for a target.
type placeEvent struct {
	placing PlacementRequest
	reply   chan<- Assignment // has room for the answer
}

func (e placeEvent) apply(s *state) {
	if s.view.Table == nil {
		e.reply <- Assignment{}
		return
	}
	if e.placing.Request.DataCentre == "" {
		e.placing.Request.DataCentre = s.options.Self.DataCentre
	}
	covered := !e.placing.Retry || s.ledger(e.placing.Pool).TrySpend(s.now(), len(s.hosts)) || s.grant(e.placing.Pool)
	spec := s.view.Table.Pool(e.placing.Pool)
	if spec != nil && spec.Engine != nil && s.askHub(e, !covered) {
		return
	}
	if !covered {
		e.deny(s)
		return
	}
	e.placeHere(s)
}

// deny refuses a second send.
func (e placeEvent) deny(s *state) {
	s.log.WithField("pool", e.placing.Pool).WithField("request", e.placing.Request.ID).WithField("hosts", len(s.hosts)).
		Warn("second send is not covered by the bound")
	e.reply <- Assignment{}
}

// placeHere answers with what this host knows itself.
func (e placeEvent) placeHere(s *state) {
	choice, ok := s.choose(e.placing)
	if !ok {
		e.reply <- Assignment{}
		return
	}
	if s.crowded(choice, e.placing) {
		e.reply <- Assignment{AtCapacity: true}
		return
	}
	e.reply <- s.add(choice, e.placing.Request)
}

// crowded reports whether a request that may wait should.
func (s *state) crowded(choice placement.Choice, placing PlacementRequest) bool {
	return placing.MayWait && placing.RunningOn == "" && s.book.ExceedsMemory(choice.Target, placing.Request)
}

// choose places a request by what this host knows.
func (s *state) choose(placing PlacementRequest) (placement.Choice, bool) {
	if s.view.Table == nil {
		return placement.Choice{}, false
	}
	candidates := s.candidates(placing.Pool)
	if placing.RunningOn == "" {
		return s.book.Choose(candidates, placing.Request, s.now())
	}
	choice := placement.Choice{Target: s.candidate(placing.RunningOn)}
	if placing.Request.WantsCopy {
		if holder, ok := s.book.ChooseCopy(candidates, placing.Request, placing.RunningOn, s.now()); ok {
			choice.Copy = holder
		}
	}
	return choice, true
}

// candidate describes a target that is given.
func (s *state) candidate(id core.TargetID) placement.Candidate {
	member := s.view.Targets[id]
	return placement.Candidate{Target: id, Address: member.Address, DataCentre: member.DataCentre, Slots: member.Slots}
}

func (s *state) add(choice placement.Choice, need placement.Request) Assignment {
	use := Assignment{Choice: choice, load: need.Load()}
	s.book.Add(choice.Target.Target, use.load)
	if choice.HasCopy() {
		use.copy = placement.Load{Copies: need.Memory}
		s.book.Add(choice.Copy.Target, use.copy)
	}
	s.loadChanged = true
	return use
}
