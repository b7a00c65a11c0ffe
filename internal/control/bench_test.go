package control

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// newBenchHarness returns the harness of a host that owns two targets and is linked with an entry
// host.
func newBenchHarness(b *testing.B) *harness {
	h := newHarnessFor(b)
	h.state.log = &log.Logger{Handler: discard.New()}
	h.ownTargets()
	h.effects.linked["b1"] = true
	return h
}

func numbered(n int) core.GenerationID {
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	return id
}

// BenchmarkOwnedRequest measures the work of the control goroutine at the owner for one
// request of another entry host: ticket request, grant, first token, six progress reports and
// close.
func BenchmarkOwnedRequest(b *testing.B) {
	h := newBenchHarness(b)
	for n := 0; b.Loop(); n++ {
		request := h.ticketRequest(1)
		request.Generation = numbered(n)
		h.state.handle(peerEvent{from: "b1", message: message.TicketRequest{Request: request}}, h.now)
		target := sentTo[message.TicketGrant](h.effects, "b1")[0].Ticket.Target
		for output := range 7 {
			progress := core.Progress{Generation: request.Generation, Output: core.Tokens(1 + 30*output)}
			if output == 0 {
				progress.FirstTokenMS = 40
			}
			h.state.handle(peerEvent{from: "b1", message: message.Progress{Streams: []core.Progress{progress}}}, h.now)
		}
		outcome := core.Outcome{Generation: request.Generation, Target: target, Result: core.Completed, Output: 200, FirstTokenMS: 40, WorstTokenGapMS: 30}
		h.state.handle(peerEvent{from: "b1", message: message.TicketClosed{Outcome: outcome}}, h.now)
		h.effects.sent = h.effects.sent[:0]
	}
}

// BenchmarkEntryRequest measures the work of the control goroutine at the entry host for one
// request whose owner is another host: ticket request, grant, first token and close.
func BenchmarkEntryRequest(b *testing.B) {
	h := newHarnessFor(b)
	h.state.log = &log.Logger{Handler: discard.New()}
	h.apply(offerConfigEvent{config: testConfig(1)})
	h.remoteOwner("b1")
	for n := 0; b.Loop(); n++ {
		request := h.ticketRequest(1)
		request.Generation = numbered(n)
		replies := make(chan reply, 1)
		h.state.handle(ticketRequestEvent{request: request, reply: replies}, h.now)
		ticket := core.Ticket{Generation: request.Generation, Owner: "b1", Target: "e3", ValidFor: time.Second}
		h.state.handle(peerEvent{from: "b1", message: message.TicketGrant{Ticket: ticket}}, h.now)
		h.state.handle(firstTokenEvent{generation: request.Generation, firstTokenMS: 40}, h.now)
		h.state.handle(closeEvent{outcome: core.Outcome{Generation: request.Generation, Target: "e3", Result: core.Completed}}, h.now)
		h.effects.sent = h.effects.sent[:0]
	}
}

// BenchmarkTick measures one idle tick of an owner.
func BenchmarkTick(b *testing.B) {
	h := newBenchHarness(b)
	for b.Loop() {
		h.now = h.now.Add(h.state.settings.Tick)
		h.state.tick(h.now)
		h.deliver()
		h.effects.sent = h.effects.sent[:0]
		h.effects.polled = h.effects.polled[:0]
	}
}
