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

// benchWorld is an owner of two warm targets with a linked entry host.
func benchWorld(b *testing.B) *world {
	w := newWorldFor(b)
	w.state.log = &log.Logger{Handler: discard.New()}
	w.own()
	w.ports.linked["b1"] = true
	return w
}

func numbered(n int) core.GenerationID {
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	return id
}

// BenchmarkOwnedRequest measures the control thread's work at the owner for one request of
// another entry host: demand, grant, first token, six progress reports and close.
func BenchmarkOwnedRequest(b *testing.B) {
	w := benchWorld(b)
	for n := 0; b.Loop(); n++ {
		demand := w.demand(1)
		demand.Generation = numbered(n)
		w.state.handle(peerEvent{from: "b1", message: message.TicketRequest{Request: demand}}, w.now)
		target := sentTo[message.TicketGrant](w.ports, "b1")[0].Ticket.Target
		for output := range 7 {
			progress := core.Progress{Generation: demand.Generation, Output: core.Tokens(1 + 30*output)}
			if output == 0 {
				progress.FirstTokenMS = 40
			}
			w.state.handle(peerEvent{from: "b1", message: message.Progress{Streams: []core.Progress{progress}}}, w.now)
		}
		outcome := core.Outcome{Generation: demand.Generation, Target: target, Result: core.Completed, Output: 200, FirstTokenMS: 40, WorstTokenGapMS: 30}
		w.state.handle(peerEvent{from: "b1", message: message.TicketClosed{Outcome: outcome}}, w.now)
		w.ports.sent = w.ports.sent[:0]
	}
}

// BenchmarkEntryRequest measures the control thread's work at the entry host for one
// request whose owner is another host: demand, grant, first token and close.
func BenchmarkEntryRequest(b *testing.B) {
	w := newWorldFor(b)
	w.state.log = &log.Logger{Handler: discard.New()}
	w.apply(offerEvent{config: testConfig(1)})
	w.remoteOwner("b1")
	for n := 0; b.Loop(); n++ {
		demand := w.demand(1)
		demand.Generation = numbered(n)
		answers := make(chan reply, 1)
		w.state.handle(demandEvent{demand: demand, reply: answers}, w.now)
		ticket := core.Ticket{Generation: demand.Generation, Owner: "b1", Target: "e3", ValidFor: time.Second}
		w.state.handle(peerEvent{from: "b1", message: message.TicketGrant{Ticket: ticket}}, w.now)
		w.state.handle(firstTokenEvent{generation: demand.Generation, firstTokenMS: 40}, w.now)
		w.state.handle(closeEvent{outcome: core.Outcome{Generation: demand.Generation, Target: "e3", Result: core.Completed}}, w.now)
		w.ports.sent = w.ports.sent[:0]
	}
}

// BenchmarkTick measures one idle tick of an owner.
func BenchmarkTick(b *testing.B) {
	w := benchWorld(b)
	for b.Loop() {
		w.now = w.now.Add(w.state.settings.Tick)
		w.state.tick(w.now)
		w.deliver()
		w.ports.sent = w.ports.sent[:0]
		w.ports.polled = w.ports.polled[:0]
	}
}
