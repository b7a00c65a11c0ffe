package control

import (
	"context"
	"sync/atomic"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/snapshot"
)

var _ controlapi.Controller = (*Loop)(nil)

// Snapshot implements controlapi.Controller.
func (l *Loop) Snapshot() *snapshot.Snapshot { return l.snapshot.Load() }

// Acquire implements controlapi.Controller.
func (l *Loop) Acquire(ctx context.Context, request core.TicketRequest) (controlapi.Grant, error) {
	replies := make(chan reply, 1)
	request.EntryHost = l.state.self.ID
	l.Post(ticketRequestEvent{request: request, reply: replies})
	select {
	case response := <-replies:
		if response.refusal != nil {
			return controlapi.Grant{}, response.refusal
		}
		return response.grant, nil
	case <-ctx.Done():
		l.Post(withdrawEvent{generation: request.Generation})
		return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedQueueTimeout, Message: "the caller left before a ticket was granted", Run: core.NotRun}
	case <-l.done:
		return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedLeaving, Message: "the host is stopping", Run: core.NotRun}
	}
}

// Close implements controlapi.Controller.
func (l *Loop) Close(outcome core.Outcome) { l.Post(closeEvent{outcome: outcome}) }

// Track implements controlapi.Controller.
func (l *Loop) Track(generation core.GenerationID, output *atomic.Int64) {
	l.Post(trackEvent{generation: generation, output: output})
}

// ReportFirstToken implements controlapi.Controller.
func (l *Loop) ReportFirstToken(generation core.GenerationID, firstTokenMS int64) {
	l.Post(firstTokenEvent{generation: generation, firstTokenMS: firstTokenMS})
}
