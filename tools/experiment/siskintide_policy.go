package main

import (
	"encoding/binary"
	"fmt"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pool"
)

const (
	pollInterval     = time.Second            // between two load reports of an engine
	reportDelay      = 300 * time.Millisecond // delay of a load report
	progressInterval = time.Second            // between two batches of progress
	progressDelay    = 50 * time.Millisecond  // delay of a batch of progress
	tickInterval     = 200 * time.Millisecond // between two ticks of the pool
	maxOutputTokens  = 8192                   // tokens; the model's declared maximum
)

// siskintidePolicy is the admission policy of siskintide. It runs the production pool, with
// delayed load reports and batched progress.
type siskintidePolicy struct {
	simulation *simulation
	pool       *pool.Pool
	requests   map[core.GenerationID]*request
}

// newSiskintidePolicy returns the policy with the team weights of the mix.
func newSiskintidePolicy(m *mix) *siskintidePolicy {
	settings := pool.Settings{QueueEntries: queueEntries, MaxTokens: maxOutputTokens}
	p := &siskintidePolicy{pool: pool.New("model/m", "owner", settings), requests: map[core.GenerationID]*request{}}
	p.pool.SetTeamWeights(m.teamWeights())
	return p
}

func (p *siskintidePolicy) attach(s *simulation) {
	p.simulation = s
	kind := core.TargetKind{
		Role: core.RoleEngine, ColdStreams: 4, WarmStreams: maxBatchStreams,
		MemoryTokens: engineMemory - engineWatermark, FirstTokenMS: 10_000, TokenGapMS: gapBound.Milliseconds(),
	}
	for i, e := range s.engines {
		spec := core.Target{ID: targetID(i), Address: "127.0.0.1:1"}
		p.apply(p.pool.SetTarget(spec, kind, 1, true, p.now()))
		offset := pollInterval * time.Duration(i) / engineCount
		s.scheduleEvery(pollInterval, offset, func() { p.pollEngine(i, e) })
	}
	s.scheduleEvery(progressInterval, progressInterval, p.sendProgress)
	s.scheduleEvery(tickInterval, tickInterval, func() { p.apply(p.pool.Tick(p.now())) })
}

func targetID(engine int) core.TargetID { return core.TargetID(fmt.Sprintf("e%02d", engine)) }

func generationID(r *request) core.GenerationID {
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[8:], uint64(r.index)+1)
	return id
}

func (p *siskintidePolicy) now() time.Time { return time.Unix(0, 0).Add(p.simulation.now) }

func (p *siskintidePolicy) arrived(r *request) {
	id := generationID(r)
	p.requests[id] = r
	p.apply(p.pool.RequestTicket(core.TicketRequest{
		Generation: id, EntryHost: "entry", Team: r.team, Class: r.class,
		PromptTokens: core.Tokens(r.prompt), QueueBudget: queueBudget,
	}, p.now()))
}

// apply carries out the pool's effects: grants are sent to their engines, refusals end their
// requests.
func (p *siskintidePolicy) apply(effects []pool.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case pool.Grant:
			p.dispatch(effect)
		case pool.Refuse:
			p.simulation.refuse(p.requests[effect.Generation])
			delete(p.requests, effect.Generation)
		}
	}
}

func (p *siskintidePolicy) dispatch(grant pool.Grant) {
	for i := range p.simulation.engines {
		if targetID(i) == grant.Ticket.Target {
			p.simulation.send(i, p.requests[grant.Ticket.Generation])
		}
	}
}

// pollEngine takes a load report, which the pool receives after reportDelay.
func (p *siskintidePolicy) pollEngine(engine int, e *engine) {
	report := core.LoadReport{
		Target: targetID(engine), Incarnation: "1", Age: reportDelay, ListsStreams: true,
		MemoryUsed: core.Tokens(e.memoryUsed), MemoryTotal: engineMemory, Preemptions: e.preemptions,
	}
	for _, streams := range [][]*stream{e.running, e.waiting} {
		for _, s := range streams {
			load := core.StreamLoad{Generation: generationID(s.request), Context: core.Tokens(s.contextTokens())}
			report.Streams = append(report.Streams, load)
		}
	}
	p.simulation.schedule(reportDelay, func() { p.apply(p.pool.ApplyReport(report, p.now())) })
}

// sendProgress sends the pool one batch of output counts, which arrives after progressDelay.
func (p *siskintidePolicy) sendProgress() {
	var batch []core.Progress
	for _, e := range p.simulation.engines {
		for _, s := range e.running {
			batch = append(batch, core.Progress{Generation: generationID(s.request), Output: core.Tokens(s.request.delivered)})
		}
	}
	p.simulation.schedule(progressDelay, func() { p.apply(p.pool.RecordProgress(batch, p.now())) })
}

func (p *siskintidePolicy) firstToken(r *request) {
	p.apply(p.pool.RecordFirstToken(generationID(r), (p.simulation.now - r.sentAt).Milliseconds(), p.now()))
}

func (p *siskintidePolicy) finished(r *request) {
	id := generationID(r)
	delete(p.requests, id)
	p.apply(p.pool.CloseTicket(core.Outcome{
		Generation: id, Target: targetID(r.engine), Result: core.Completed, Output: core.Tokens(r.output),
		FirstTokenMS: (r.firstTokenAt - r.sentAt).Milliseconds(), WorstTokenGapMS: r.worstGap.Milliseconds(),
	}, p.now()))
}
