package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
)

// The model of uneven engines: a decode step takes modelStep and more, an event holds modelEventTokens, a step in
// which a prompt is read in takes modelChunk tokens of it, and the newest request is preempted when memory runs out.
const (
	modelStepMS        = 7.0
	modelStepRequestMS = 0.12
	modelStepKTokenMS  = 0.004
	modelChunk         = 112
	modelChunkMS       = 8.0
	modelEventTokens   = 4
	modelSlots         = 24
	modelMemory        = 26_900
	modelGapGoal       = 180 * time.Millisecond
	modelFirstGoal     = 1800 * time.Millisecond
	modelPrompt        = 3000
	modelOutput        = 187 * modelEventTokens
	modelWaitRetry     = 60 * time.Millisecond
	modelTick          = 100 * time.Millisecond // between two load reports
	modelReport        = 300 * time.Millisecond // between two reports of pace without late pauses
	modelFlushEvents   = 4
	modelStall         = 100 * time.Millisecond
	modelShortPrompt   = 2550
	modelShortOutput   = 2 * modelEventTokens
	modelSlowdown      = 2.5 // of a slowed engine's steps
	modelSlowedEvery   = 6 * time.Second
	modelSlowedFor     = 1200 * time.Millisecond // at most
)

var modelCentres = []core.DataCentreID{"a", "b", "c"}

// modelStream is one request of the model.
type modelStream struct {
	request   Request
	output    int // tokens that the stream will have
	arrived   time.Duration
	engine    *modelEngine
	toPrefill int // tokens to be read in before the next step of the stream
	made      int
	sent      int // tokens in events sent
	lastAt    time.Duration
	first     time.Duration
	worst     time.Duration
	cause     string // of the worst pause
	preempted bool   // since the last event
	late      bool
	pending   core.Tokens
	unsent    pace.Sums
}

func (s *modelStream) memory() int { return int(s.request.Prompt) + s.made }

// modelEngine is one engine of the model.
type modelEngine struct {
	candidate   Candidate
	speed       float64
	running     []*modelStream // in order of admission
	queue       []*modelStream
	nextStep    time.Duration
	silentUntil time.Duration
	slowedFrom  time.Duration
	slowedUntil time.Duration
	arrivals    int
	preemptions int
	reports     pace.Sums
	reportedAt  time.Duration
}

// modelResult counts what callers see.
type modelResult struct {
	Streams, LateFirst, LatePause, Refused, Preemptions int
	Causes                                              map[string]int
	SlowShare, Busiest                                  float64
}

func (r modelResult) late() int { return r.LateFirst + r.LatePause + r.Refused }

// model plays arrivals at engines. Time is simulated.
type model struct {
	random   *rand.Rand // of arrivals
	delays   *rand.Rand // of hosts' delays and random choices, so that all ways to place get the same arrivals
	engines  []*modelEngine
	balancer *Balancer
	paced    bool
	choose   func(m *model, request Request, now time.Duration) *modelEngine
	now      time.Duration
	result   modelResult
	from     time.Duration // streams that arrived before are not counted
	onTick   func(m *model)
	// chunks is set if each prompt that is read in takes a chunk of a step, not only the first one.
	chunks bool
	local  float64 // share of the requests that come from the first data centre
	stalls float64 // probability that a host holds an event up, by up to modelStall
	jitter float64 // mean milliseconds by which hosts delay an event
	hidden int     // tokens of each engine's memory that no forecast counts
	hint   float64 // mean ratio of the forecast output to the real one
	short  float64 // share of the requests that have two events
	slowed bool    // engines are slowed for moments
}

func newModel(seed uint64, speeds ...float64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), delays: rand.New(rand.NewPCG(seed, 2)), balancer: NewBalancer(), hint: 1, result: modelResult{Causes: map[string]int{}}}
	for i, speed := range speeds {
		m.engines = append(m.engines, &modelEngine{speed: speed, candidate: Candidate{Target: core.TargetID(fmt.Sprintf("e%d", i)), DataCentre: modelCentres[i%len(modelCentres)], Slots: modelSlots, Memory: modelMemory}})
	}
	return m
}

func (m *model) candidates() []Candidate {
	var all []Candidate
	for _, e := range m.engines {
		all = append(all, e.candidate)
	}
	return all
}

func (m *model) engine(id core.TargetID) *modelEngine {
	return m.engines[slices.IndexFunc(m.engines, func(e *modelEngine) bool { return e.candidate.Target == id })]
}

// byBalancer places as the hub does; with paced the request has a goal for its pauses.
func byBalancer(m *model, request Request, now time.Duration) *modelEngine {
	choice, ok := m.balancer.Choose(m.candidates(), request, now)
	if !ok {
		return nil
	}
	return m.engine(choice.Target.Target)
}

func byLeastOutstanding(m *model, _ Request, _ time.Duration) *modelEngine {
	return slices.MinFunc(m.engines, func(a, b *modelEngine) int { return len(a.running) + len(a.queue) - len(b.running) - len(b.queue) })
}

func byTwoChoices(m *model, _ Request, _ time.Duration) *modelEngine {
	a, b := m.engines[m.delays.IntN(len(m.engines))], m.engines[m.delays.IntN(len(m.engines))]
	if len(b.running)+len(b.queue) < len(a.running)+len(a.queue) {
		return b
	}
	return a
}

// run plays Poisson arrivals for a time and lets all streams end.
func (m *model) run(rate float64, length time.Duration) modelResult {
	type waiting struct {
		stream *modelStream
		at     time.Duration
	}
	var waits []waiting
	next, tick, number := time.Duration(0), modelTick, 0
	for {
		at, what := tick, "tick"
		if next < at && next < length {
			at, what = next, "arrival"
		}
		var stepping *modelEngine
		for _, e := range m.engines {
			if (len(e.running) > 0 || len(e.queue) > 0) && e.nextStep < at {
				at, what, stepping = e.nextStep, "step", e
			}
		}
		if len(waits) > 0 && waits[0].at < at {
			at, what = waits[0].at, "wait"
		}
		m.now = max(m.now, at)
		switch what {
		case "tick":
			tick += modelTick
			m.tick()
			busy := slices.ContainsFunc(m.engines, func(e *modelEngine) bool { return len(e.running)+len(e.queue) > 0 })
			if next >= length && !busy && len(waits) == 0 {
				return m.finish()
			}
		case "step":
			m.step(stepping)
		case "arrival", "wait":
			var s *modelStream
			if what == "arrival" {
				number++
				s = m.newStream(number)
				next += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
			} else {
				s = waits[0].stream
				waits = waits[1:]
			}
			if !m.place(s) {
				if m.now+modelWaitRetry-s.arrived > modelFirstGoal*6/10 {
					m.count(s, func(r *modelResult) { r.Refused++ })
					continue
				}
				waits = append(waits, waiting{s, m.now + modelWaitRetry})
			}
		}
	}
}

func (m *model) count(s *modelStream, add func(*modelResult)) {
	if s.arrived >= m.from {
		m.result.Streams++
		add(&m.result)
	}
}

func (m *model) newStream(number int) *modelStream {
	output := max(int(modelOutput*(0.4+1.2*m.random.Float64())), modelEventTokens)
	prompt := core.Tokens(modelPrompt * (0.7 + 0.6*m.random.Float64()))
	hint := core.Tokens(float64(output) * m.hint * (0.8 + 0.4*m.random.Float64()))
	if m.short > 0 && m.random.Float64() < m.short {
		output, prompt, hint = modelShortOutput, prompt*modelShortPrompt/modelPrompt, modelShortOutput
	}
	s := &modelStream{output: output, arrived: m.now, toPrefill: int(prompt)}
	centre := modelCentres[0]
	if at := m.random.Float64(); at > m.local {
		centre = modelCentres[1+m.random.IntN(len(modelCentres)-1)]
	}
	s.request = Request{ID: fmt.Sprint(number), DataCentre: centre, Prompt: prompt, Memory: prompt + hint}
	if m.paced {
		s.request.Pool, s.request.GapGoal, s.request.Events = "pool", modelGapGoal, int(hint)/modelEventTokens
	}
	return s
}

// place returns false if the stream has to wait.
func (m *model) place(s *modelStream) bool {
	e := m.choose(m, s.request, m.now)
	if m.balancer.ExceedsMemory(e.candidate, s.request) {
		return false
	}
	e.arrivals++
	if m.paced {
		m.balancer.RecordPrompt(Choice{Target: e.candidate}, s.request, m.now)
	}
	s.engine, s.pending = e, s.request.Prompt
	m.balancer.Add(e.candidate.Target, s.request.Load())
	if len(e.running)+len(e.queue) == 0 {
		e.nextStep = m.now
	}
	e.queue = append(e.queue, s)
	return true
}

func (e *modelEngine) used() int {
	used := 0
	for _, s := range e.running {
		used += s.memory()
	}
	return used
}

// speed returns the speed of an engine at this moment.
func (m *model) speed(e *modelEngine) float64 {
	if !m.slowed {
		return e.speed
	}
	if m.now >= e.slowedUntil {
		e.slowedFrom = m.now + time.Duration(m.delays.ExpFloat64()*float64(modelSlowedEvery))
		e.slowedUntil = e.slowedFrom + time.Duration((0.25+0.75*m.delays.Float64())*float64(modelSlowedFor))
	}
	if m.now >= e.slowedFrom {
		return e.speed / modelSlowdown
	}
	return e.speed
}

// step plays one decode step of an engine.
func (m *model) step(e *modelEngine) {
	if e.silentUntil > m.now {
		e.nextStep = e.silentUntil
		return
	}
	for len(e.queue) > 0 && len(e.running) < modelSlots && e.used()+e.queue[0].memory() <= modelMemory-m.hidden {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
	}
	decoding := 0
	for _, s := range e.running {
		if s.toPrefill == 0 {
			decoding++
		}
	}
	for e.used()+decoding > modelMemory-m.hidden && len(e.running) > 1 { // the newest is preempted
		s := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		if s.toPrefill == 0 {
			decoding--
		}
		s.toPrefill, s.preempted = s.memory(), true
		e.queue = append([]*modelStream{s}, e.queue...)
		e.preemptions++
	}
	ms := modelStepMS + modelStepRequestMS*float64(len(e.running)) + modelStepKTokenMS*float64(e.used())/1000
	for _, s := range e.running {
		if s.toPrefill > 0 {
			ms += modelChunkMS
			if !m.chunks {
				break
			}
		}
	}
	end := m.now + time.Duration(ms/m.speed(e)*float64(time.Millisecond))
	prefilled := false
	var left []*modelStream
	for _, s := range e.running {
		switch {
		case s.toPrefill > 0 && (m.chunks || !prefilled):
			prefilled = true
			s.toPrefill = max(s.toPrefill-modelChunk, 0)
		case s.toPrefill > 0:
		default:
			s.made++
			if s.made-s.sent >= modelEventTokens || s.made >= s.output {
				m.event(s, end)
			}
		}
		if s.made < s.output {
			left = append(left, s)
		} else {
			m.end(s)
		}
	}
	e.running, e.nextStep = left, end
}

func (m *model) event(s *modelStream, at time.Duration) {
	at += time.Duration(m.delays.ExpFloat64() * m.jitter * float64(time.Millisecond))
	if m.delays.Float64() < m.stalls {
		at += time.Duration(m.delays.Float64() * float64(modelStall))
	}
	id := s.engine.candidate.Target
	if s.sent == 0 {
		s.first = at - s.arrived
		m.balancer.Remove(id, Load{PendingPrefill: s.pending})
		s.pending = 0
	} else {
		gap := at - s.lastAt
		if gap > s.worst {
			s.worst, s.cause = gap, "steps"
			if s.engine.speed < 1 {
				s.cause = "steps of a slow engine"
			}
			if s.preempted {
				s.cause = "preemption"
			}
		}
		s.unsent.Record(gap, modelGapGoal)
		if gap > modelGapGoal && !s.late {
			s.late = true
			s.unsent.LateStreams++
		}
		if s.unsent.Events >= modelFlushEvents || gap > modelGapGoal {
			s.engine.reports = s.engine.reports.Plus(s.unsent)
			s.unsent = pace.Sums{}
		}
	}
	s.sent, s.lastAt, s.preempted = s.made, at, false
}

func (m *model) end(s *modelStream) {
	m.balancer.Remove(s.engine.candidate.Target, Load{Requests: 1, Memory: s.request.Memory})
	s.engine.reports = s.engine.reports.Plus(s.unsent)
	m.count(s, func(r *modelResult) {
		switch {
		case s.first > modelFirstGoal:
			r.LateFirst++
		case s.worst > modelGapGoal:
			r.LatePause++
			r.Causes[s.cause]++
		}
	})
}

// tick takes the reports to the hub.
func (m *model) tick() {
	for _, e := range m.engines {
		if m.now-e.reportedAt < modelReport && e.reports.Late == 0 {
			continue
		}
		if m.paced && e.reports.Events > 0 {
			m.balancer.RecordPace("pool", e.candidate, e.reports, m.now)
		}
		e.reports, e.reportedAt = pace.Sums{}, m.now
	}
	m.balancer.Expire(m.now)
	if m.onTick != nil {
		m.onTick(m)
	}
}

func (m *model) finish() modelResult {
	r := &m.result
	total, slow, busiest := 0, 0, 0
	for _, e := range m.engines {
		r.Preemptions += e.preemptions
		total += e.arrivals
		busiest = max(busiest, e.arrivals)
		if e.speed < 1 {
			slow += e.arrivals
		}
	}
	r.SlowShare = float64(slow) / math.Max(float64(total), 1)
	r.Busiest = float64(busiest*len(m.engines)) / math.Max(float64(total), 1)
	return *r
}
