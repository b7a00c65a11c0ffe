package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// reportProgress sends each owner one batch with the output of the streams that run under
// its tickets.
func (s *state) reportProgress(now time.Time) {
	batches := map[core.HostID][]core.Progress{}
	for generation, h := range s.heldTickets {
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
	s.effects.Send(owner, message.Progress{Streams: batch})
}

// handleProgress records the progress of streams on targets that this host owns.
func (s *state) handleProgress(batch []core.Progress, now time.Time) {
	for _, p := range s.pools {
		s.executePool(p.RecordProgress(batch, now), now)
	}
	for _, progress := range batch {
		if progress.FirstTokenMS == 0 {
			continue
		}
		for _, p := range s.pools {
			s.executePool(p.RecordFirstToken(progress.Generation, progress.FirstTokenMS, now), now)
		}
	}
}

// sendHeldTickets sends each owner the list of its tickets that this host still holds.
func (s *state) sendHeldTickets(now time.Time) {
	lists := map[core.HostID][]core.GenerationID{}
	for generation, h := range s.heldTickets {
		lists[h.ticket.Owner] = append(lists[h.ticket.Owner], generation)
	}
	for owner, list := range lists {
		if owner == s.self.ID {
			s.reconcileHeldTickets(s.self.ID, list, now)
			continue
		}
		s.effects.Send(owner, message.HeldTickets{Held: list})
	}
}

func (s *state) reconcileHeldTickets(entryHost core.HostID, list []core.GenerationID, now time.Time) {
	for _, p := range s.pools {
		s.executePool(p.ReconcileHeldTickets(entryHost, list, now), now)
	}
}

// sendOutcome closes a ticket at its owner, or withdraws a queued request there.
func (s *state) sendOutcome(owner core.HostID, outcome core.Outcome, now time.Time) {
	if owner == s.self.ID {
		s.handleOutcome(outcome, now)
		return
	}
	s.effects.Send(owner, message.TicketClosed{Outcome: outcome})
}

// handleOutcome closes a ticket, or withdraws a queued request, of a target that this host
// owns.
func (s *state) handleOutcome(outcome core.Outcome, now time.Time) {
	for _, p := range s.pools {
		s.executePool(p.WithdrawRequest(outcome.Generation, now), now)
		s.executePool(p.CloseTicket(outcome, now), now)
	}
}
