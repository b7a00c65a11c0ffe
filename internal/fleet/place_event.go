package fleet

import (
	"siskintide.example/siskintide/internal/decide/placement"
)

// placeEvent asks for a target.
type placeEvent struct {
	placing Placing
	reply   chan<- Use // has room for the answer
}

func (e placeEvent) apply(s *state) {
	if s.view.Table == nil {
		e.reply <- Use{}
		return
	}
	need := e.placing.Need
	need.DataCentre = s.options.DataCentre
	candidates := s.candidates(e.placing.Pool)
	if e.placing.Running != "" {
		e.reply <- s.placeResumed(candidates, need, e.placing)
		return
	}
	choice, ok := s.book.Choose(candidates, need, s.now())
	if !ok {
		e.reply <- Use{}
		return
	}
	e.reply <- s.add(choice, need)
}

// placeResumed counts a generation that goes on at a target that is given, and chooses
// who keeps its next copy.
func (s *state) placeResumed(candidates []placement.Candidate, need placement.Need, placing Placing) Use {
	choice := placement.Choice{Target: s.candidate(placing)}
	if need.WantsCopy {
		if holder, ok := s.book.ChooseCopy(candidates, need, placing.Running, s.now()); ok {
			choice.Copy = holder
		}
	}
	return s.add(choice, need)
}

func (s *state) candidate(placing Placing) placement.Candidate {
	member := s.view.Members[placing.Running]
	return placement.Candidate{
		Target:     placing.Running,
		Address:    member.Address,
		DataCentre: member.DataCentre,
		Slots:      member.Slots,
	}
}

func (s *state) add(choice placement.Choice, need placement.Need) Use {
	use := Use{Choice: choice, load: placement.Load{Requests: 1, Memory: need.Memory}}
	s.book.Add(choice.Target.Target, use.load)
	if choice.HasCopy() {
		use.copy = placement.Load{Copies: need.Memory}
		s.book.Add(choice.Copy.Target, use.copy)
	}
	s.loadChanged = true
	return use
}
