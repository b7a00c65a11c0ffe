package pool

import (
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// ticketSet holds the tickets in use at one target in the order of their grants, so that
// decisions that iterate over them are deterministic.
type ticketSet struct {
	byID    map[core.GenerationID]*ticketState
	ordered []*ticketState
}

// Add adds a ticket.
func (s *ticketSet) Add(ticket *ticketState) {
	s.byID[ticket.request.Generation] = ticket
	s.ordered = append(s.ordered, ticket)
}

// Remove removes a ticket.
func (s *ticketSet) Remove(ticket *ticketState) {
	delete(s.byID, ticket.request.Generation)
	i := slices.Index(s.ordered, ticket)
	s.ordered = slices.Delete(s.ordered, i, i+1)
}

// Get returns the ticket of a generation, or nil.
func (s *ticketSet) Get(id core.GenerationID) *ticketState { return s.byID[id] }

// Len returns the number of tickets.
func (s *ticketSet) Len() int { return len(s.ordered) }

// All returns a copy of the list, so that tickets can be removed during iteration.
func (s *ticketSet) All() []*ticketState { return slices.Clone(s.ordered) }
