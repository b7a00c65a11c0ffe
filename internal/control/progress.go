package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// reportProgress sends each owner one batch with the output of its tickets' streams.
func (s *state) reportProgress(now time.Time) {
	batches := map[core.HostID][]core.Progress{}
	for generation, h := range s.held {
		if h.output == nil {
			continue
		}
		output := core.Tokens(h.output.Load())
		if output == h.reported {
			continue
		}
		h.reported = output
		batches[h.ticket.Owner] = append(batches[h.ticket.Owner], core.Progress{Generation: generation, Output: output})
	}
	for owner, batch := range batches {
		s.sendProgress(owner, batch, now)
	}
}

func (s *state) sendProgress(owner core.HostID, batch []core.Progress, now time.Time) {
	if owner == s.self.ID {
		s.handleProgress(batch, now)
		return
	}
	s.ports.Send(owner, message.Progress{Streams: batch})
}

// handleProgress takes in progress of streams on targets that this host owns.
func (s *state) handleProgress(batch []core.Progress, now time.Time) {
	for _, p := range s.pools {
		s.execute(p.RecordProgress(batch, now), now)
	}
	for _, progress := range batch {
		if progress.FirstTokenMS == 0 {
			continue
		}
		for _, p := range s.pools {
			s.execute(p.RecordFirstToken(progress.Generation, progress.FirstTokenMS, now), now)
		}
	}
}

// checkTickets tells each owner which of its tickets this host still holds.
func (s *state) checkTickets(now time.Time) {
	lists := map[core.HostID][]core.GenerationID{}
	for generation, h := range s.held {
		lists[h.ticket.Owner] = append(lists[h.ticket.Owner], generation)
	}
	for owner, list := range lists {
		if owner == s.self.ID {
			s.handleHeld(s.self.ID, list, now)
			continue
		}
		s.ports.Send(owner, message.HeldTickets{Held: list})
	}
}

func (s *state) handleHeld(entry core.HostID, list []core.GenerationID, now time.Time) {
	for _, p := range s.pools {
		s.execute(p.ReconcileHeldTickets(entry, list, now), now)
	}
}

// sendOutcome gives a ticket back to its owner, or withdraws a queued demand.
func (s *state) sendOutcome(owner core.HostID, outcome core.Outcome, now time.Time) {
	if owner == s.self.ID {
		s.handleOutcome(outcome, now)
		return
	}
	s.ports.Send(owner, message.TicketClosed{Outcome: outcome})
}

// handleOutcome takes back a ticket of a target that this host owns.
func (s *state) handleOutcome(outcome core.Outcome, now time.Time) {
	for _, p := range s.pools {
		s.execute(p.WithdrawRequest(outcome.Generation, now), now)
		s.execute(p.CloseTicket(outcome, now), now)
	}
}
