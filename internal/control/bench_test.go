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

// benchWorld returns the state of a host that owns two targets and is linked with an entry
// host.
func benchWorld(b *testing.B) *world {
	w := newWorldFor(b)
	w.state.log = &log.Logger{Handler: discard.New()}
	w.ownTargets()
	w.effects.linked["b1"] = true
	return w
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
	w := benchWorld(b)
	for n := 0; b.Loop(); n++ {
		request := w.ticketRequest(1)
		request.Generation = numbered(n)
		w.state.handle(peerEvent{from: "b1", message: message.TicketRequest{Request: request}}, w.now)
		target := sentTo[message.TicketGrant](w.effects, "b1")[0].Ticket.Target
		for output := range 7 {
			progress := core.Progress{Generation: request.Generation, Output: core.Tokens(1 + 30*output)}
			if output == 0 {
				progress.FirstTokenMS = 40
			}
			w.state.handle(peerEvent{from: "b1", message: message.Progress{Streams: []core.Progress{progress}}}, w.now)
		}
		outcome := core.Outcome{Generation: request.Generation, Target: target, Result: core.Completed, Output: 200, FirstTokenMS: 40, WorstTokenGapMS: 30}
		w.state.handle(peerEvent{from: "b1", message: message.TicketClosed{Outcome: outcome}}, w.now)
		w.effects.sent = w.effects.sent[:0]
	}
}

// BenchmarkEntryRequest measures the work of the control goroutine at the entry host for one
// request whose owner is another host: ticket request, grant, first token and close.
func BenchmarkEntryRequest(b *testing.B) {
	w := newWorldFor(b)
	w.state.log = &log.Logger{Handler: discard.New()}
	w.apply(offerConfigEvent{config: testConfig(1)})
	w.remoteOwner("b1")
	for n := 0; b.Loop(); n++ {
		request := w.ticketRequest(1)
		request.Generation = numbered(n)
		replies := make(chan reply, 1)
		w.state.handle(ticketRequestEvent{request: request, reply: replies}, w.now)
		ticket := core.Ticket{Generation: request.Generation, Owner: "b1", Target: "e3", ValidFor: time.Second}
		w.state.handle(peerEvent{from: "b1", message: message.TicketGrant{Ticket: ticket}}, w.now)
		w.state.handle(firstTokenEvent{generation: request.Generation, firstTokenMS: 40}, w.now)
		w.state.handle(closeEvent{outcome: core.Outcome{Generation: request.Generation, Target: "e3", Result: core.Completed}}, w.now)
		w.effects.sent = w.effects.sent[:0]
	}
}

// BenchmarkTick measures one idle tick of an owner.
func BenchmarkTick(b *testing.B) {
	w := benchWorld(b)
	for b.Loop() {
		w.now = w.now.Add(w.state.settings.Tick)
		w.state.tick(w.now)
		w.deliver()
		w.effects.sent = w.effects.sent[:0]
		w.effects.polled = w.effects.polled[:0]
	}
}
