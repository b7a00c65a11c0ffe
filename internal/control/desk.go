package control

import (
	"context"
	"sync/atomic"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/snapshot"
)

var _ controlapi.Controller = (*Loop)(nil)

// Snapshot implements desk.Desk.
func (l *Loop) Snapshot() *snapshot.Snapshot { return l.snapshot.Load() }

// Acquire implements desk.Desk.
func (l *Loop) Acquire(ctx context.Context, demand core.TicketRequest) (controlapi.Grant, error) {
	answers := make(chan reply, 1)
	demand.EntryHost = l.state.self.ID
	l.Post(demandEvent{demand: demand, reply: answers})
	select {
	case answer := <-answers:
		if answer.refusal != nil {
			return controlapi.Grant{}, answer.refusal
		}
		return answer.grant, nil
	case <-ctx.Done():
		l.Post(withdrawEvent{generation: demand.Generation})
		return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedQueueTimeout, Message: "the caller left before a ticket was granted", Run: core.NotRun}
	case <-l.done:
		return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedLeaving, Message: "the host is stopping", Run: core.NotRun}
	}
}

// Close implements desk.Desk.
func (l *Loop) Close(outcome core.Outcome) { l.Post(closeEvent{outcome: outcome}) }

// Track implements desk.Desk.
func (l *Loop) Track(generation core.GenerationID, output *atomic.Int64) {
	l.Post(trackEvent{generation: generation, output: output})
}

// ReportFirstToken implements desk.Desk.
func (l *Loop) ReportFirstToken(generation core.GenerationID, firstTokenMS int64) {
	l.Post(firstTokenEvent{generation: generation, firstTokenMS: firstTokenMS})
}
