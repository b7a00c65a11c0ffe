package main

import (
	"encoding/binary"
	"fmt"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pool"
)

const (
	pollInterval     = time.Second
	reportAge        = 300 * time.Millisecond // lag of a load report
	progressInterval = time.Second
	progressWay      = 50 * time.Millisecond
	tickInterval     = 200 * time.Millisecond
	longestOutput    = 8192 // tokens, declared by the model
)

// owner is the policy of siskintide: the real pool, with late reports and batched progress.
type owner struct {
	simulation *simulation
	pool       *pool.Pool
	requests   map[core.GenerationID]*request
}

// newOwner returns the policy with the teams' weights as the mix gives them.
func newOwner(m *mix) *owner {
	settings := pool.Settings{QueueEntries: queueEntries, MaxTokens: longestOutput}
	p := &owner{pool: pool.New("model/m", "owner", settings), requests: map[core.GenerationID]*request{}}
	p.pool.SetTeamWeights(m.weights())
	return p
}

func (p *owner) attach(s *simulation) {
	p.simulation = s
	kind := core.TargetKind{
		Role: core.RoleEngine, ColdStreams: 4, WarmStreams: engineBatch,
		MemoryTokens: engineMemory - engineWatermark, FirstTokenMS: 10_000, TokenGapMS: stallBound.Milliseconds(),
	}
	for i, e := range s.engines {
		spec := core.Target{ID: targetOf(i), Address: "127.0.0.1:1"}
		p.apply(p.pool.SetTarget(spec, kind, 1, true, p.now()))
		offset := pollInterval * time.Duration(i) / engineCount
		s.every(pollInterval, offset, func() { p.poll(i, e) })
	}
	s.every(progressInterval, progressInterval, p.progress)
	s.every(tickInterval, tickInterval, func() { p.apply(p.pool.Tick(p.now())) })
}

func targetOf(engine int) core.TargetID { return core.TargetID(fmt.Sprintf("e%02d", engine)) }

func generationOf(r *request) core.GenerationID {
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[8:], uint64(r.index)+1)
	return id
}

func (p *owner) now() time.Time { return time.Unix(0, 0).Add(p.simulation.now) }

func (p *owner) arrived(r *request) {
	id := generationOf(r)
	p.requests[id] = r
	p.apply(p.pool.RequestTicket(core.TicketRequest{
		Generation: id, EntryHost: "entry", Team: r.team, Class: r.class,
		PromptTokens: core.Tokens(r.prompt), QueueBudget: queueBudget,
	}, p.now()))
}

func (p *owner) apply(effects []pool.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case pool.Grant:
			p.send(effect)
		case pool.Refuse:
			p.simulation.refuse(p.requests[effect.Generation])
			delete(p.requests, effect.Generation)
		}
	}
}

func (p *owner) send(grant pool.Grant) {
	for i := range p.simulation.engines {
		if targetOf(i) == grant.Ticket.Target {
			p.simulation.send(i, p.requests[grant.Ticket.Generation])
		}
	}
}

// poll takes a load report, which arrives when its content is already old.
func (p *owner) poll(engine int, e *engine) {
	report := core.LoadReport{
		Target: targetOf(engine), Incarnation: "1", Age: reportAge, ListsStreams: true,
		MemoryUsed: core.Tokens(e.used), MemoryTotal: engineMemory, Preemptions: e.preemptions,
	}
	for _, streams := range [][]*stream{e.running, e.waiting} {
		for _, s := range streams {
			load := core.StreamLoad{Generation: generationOf(s.request), Context: core.Tokens(s.need())}
			report.Streams = append(report.Streams, load)
		}
	}
	p.simulation.after(reportAge, func() { p.apply(p.pool.ApplyReport(report, p.now())) })
}

// progress sends one batch of output counts.
func (p *owner) progress() {
	var batch []core.Progress
	for _, e := range p.simulation.engines {
		for _, s := range e.running {
			batch = append(batch, core.Progress{Generation: generationOf(s.request), Output: core.Tokens(s.request.delivered)})
		}
	}
	p.simulation.after(progressWay, func() { p.apply(p.pool.RecordProgress(batch, p.now())) })
}

func (p *owner) firstToken(r *request) {
	p.apply(p.pool.RecordFirstToken(generationOf(r), (p.simulation.now - r.sentAt).Milliseconds(), p.now()))
}

func (p *owner) finished(r *request) {
	id := generationOf(r)
	delete(p.requests, id)
	p.apply(p.pool.CloseTicket(core.Outcome{
		Generation: id, Target: targetOf(r.engine), Result: core.Completed, Output: core.Tokens(r.output),
		FirstTokenMS: (r.firstAt - r.sentAt).Milliseconds(), WorstTokenGapMS: r.worstGap.Milliseconds(),
	}, p.now()))
}
