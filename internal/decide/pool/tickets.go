package pool

import "siskintide.example/siskintide/internal/core"

// Tickets lists the generations whose tickets are in use at a target, in no particular
// order.
func (p *Pool) Tickets(target core.TargetID) []core.GenerationID {
	var ids []core.GenerationID
	for id, ticket := range p.tickets {
		if ticket.target == target {
			ids = append(ids, id)
		}
	}
	return ids
}
