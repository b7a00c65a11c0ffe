package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	simStep     = 20 * time.Millisecond
	simReport   = 400 * time.Millisecond
	simPool     = core.PoolID("web")
	simDuration = 12 * time.Second
)

var simBounds = Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}

// simHost is one host with its process. A restart replaces exposure and controller.
type simHost struct {
	id         core.HostID
	exposure   *Exposure
	controller *Controller
	offset     time.Duration // of the host's clock
	record     core.RolloutRecord
	cutUntil   time.Duration
	deadUntil  time.Duration
	frozen     time.Duration // until
	written    time.Duration // when its last write began
	reportAt   time.Duration
}

// simEvent is something that happens later.
type simEvent struct {
	at time.Duration
	do func()
}

// simulation runs hosts, a store and traffic in simulated time.
type simulation struct {
	random      *rand.Rand
	now         time.Duration
	rate        float64 // requests per second
	lossy       float64 // part of the messages that are lost
	routes      []float64
	fault       *simFault
	hosts       []*simHost
	stored      core.RolloutRecord // in the store
	storeJump   time.Duration      // of the store's clock
	storeAway   bool
	order       *core.RolloutOrder
	events      []simEvent
	orderedAt   time.Duration
	requests    int // since the order
	exposed     int // to the new version while it is probed
	unproven    int // to the new version in all
	bad         int // bad answers
	fiftiethBad time.Duration
	lastNew     time.Duration // when the last request was sent to the new version
	running     int           // at the new version
	incarnation uint64
	worstExcess float64 // of exposed over the bound
	seed        uint64
	slowMoments bool            // all targets of both versions are slow at times
	stalls      bool            // single targets of both versions stand still at times
	recentNew   []time.Duration // when the requests of the last loadTime were sent to the new version
}

func newSimulation(seed uint64, hosts int, rate float64, fault *simFault) *simulation {
	s := &simulation{seed: seed, random: rand.New(rand.NewPCG(seed, 1)), rate: rate, fault: fault, routes: []float64{0.6, 0.3, 0.08, 0.02}}
	s.stored = core.RolloutRecord{Pool: simPool, Sequence: 1, Current: "v1", Decider: "x"}
	for i := range hosts {
		h := &simHost{id: core.HostID(fmt.Sprintf("h%02d", i)), offset: time.Duration(s.random.IntN(1000)) * time.Second}
		s.restart(h)
		s.hosts = append(s.hosts, h)
	}
	return s
}

// restart replaces a host's process. It reads the store as it starts.
func (s *simulation) restart(h *simHost) {
	s.incarnation++
	h.exposure, h.controller = NewExposure(s.incarnation, simBounds), NewController(fmt.Sprintf("%s/%d", h.id, s.incarnation), simBounds)
	h.record = core.RolloutRecord{}
	s.adopt(h, s.stored)
}

func (s *simulation) adopt(h *simHost, r core.RolloutRecord) {
	if h.controller.Adopt(r, s.now+h.offset) {
		h.record = r
		h.exposure.SetRecord(r, s.now+h.offset)
	}
}

func (s *simulation) later(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{at: s.now + d, do: do})
}

func (s *simulation) reachable(h *simHost) bool { return s.now >= h.cutUntil && s.up(h) }

func (s *simulation) up(h *simHost) bool { return s.now >= h.deadUntil && s.now >= h.frozen }

func (s *simulation) delay() time.Duration {
	return time.Duration(s.random.IntN(60)) * time.Millisecond
}

func (s *simulation) lost() bool { return s.random.Float64() < s.lossy }

// run runs the simulation for a time.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		due := s.events
		s.events = nil
		for _, e := range due {
			if e.at <= s.now {
				e.do()
			} else {
				s.events = append(s.events, e)
			}
		}
		s.traffic()
		leader := s.leader()
		for _, h := range s.hosts {
			if s.up(h) {
				s.hostStep(h, leader)
			}
		}
		if s.order != nil && s.now < s.orderedAt+s.order.Duration {
			bound := simBounds.Share*float64(s.requests) + simBounds.Slack
			s.worstExcess = max(s.worstExcess, float64(s.exposed)-bound)
		}
	}
}

// leader returns the first host that is not cut off from the others, or nil.
func (s *simulation) leader() *simHost {
	for _, h := range s.hosts {
		if s.reachable(h) {
			return h
		}
	}
	return nil
}

func (s *simulation) hostStep(h, leader *simHost) {
	if s.reachable(h) && !s.storeAway && !s.lost() {
		record := s.stored
		s.later(s.delay(), func() {
			if s.up(h) {
				s.adopt(h, record)
			}
		})
	}
	// A host that is cut off believes to be the first, and reaches the store.
	if h == leader || s.now < h.cutUntil {
		s.decide(h)
	}
	if s.now >= h.reportAt && s.reachable(h) && leader != nil {
		h.reportAt = s.now + simReport
		s.report(h, leader)
	}
}

func (s *simulation) report(h, leader *simHost) {
	sentAt := s.now + h.offset
	report, active := h.exposure.Report(sentAt)
	if !active || s.lost() {
		return
	}
	s.later(s.delay(), func() {
		if !s.reachable(leader) {
			return
		}
		quota, ok := leader.controller.Report(h.id, report, s.now+leader.offset)
		if !ok || s.lost() {
			return
		}
		exposure := h.exposure
		s.later(s.delay(), func() {
			if s.up(h) && h.exposure == exposure {
				exposure.Accept(quota, sentAt)
			}
		})
	})
}

func (s *simulation) decide(h *simHost) {
	if s.now < h.written+100*time.Millisecond {
		return
	}
	situation := Situation{
		Now: s.now + h.offset, StoreTime: s.now + s.storeJump, Order: s.order,
		Targets: map[core.Version]VersionTargets{"v1": {Slots: 40, WarmSlots: 40}, "v2": {Slots: 40, WarmSlots: 40, Oldest: 1}},
	}
	expected, known := h.controller.Record()
	next := h.controller.Next(situation)
	if next == nil || !known {
		return
	}
	h.written = s.now
	next.Pool = simPool
	write := *next
	s.later(s.delay(), func() {
		if !s.storeAway && s.stored.Sequence == expected.Sequence {
			s.stored = write
		}
	})
}

// traffic sends the requests of one step to random hosts.
func (s *simulation) traffic() {
	for range s.poisson(s.rate * simStep.Seconds()) {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		if !s.up(h) {
			continue
		}
		s.request(h)
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p := 0, s.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= s.random.Float64()
	}
	return n
}

func (s *simulation) request(h *simHost) {
	route, x := core.RouteID("r0"), s.random.Float64()
	for i, part := range s.routes {
		if x < part {
			route = core.RouteID(fmt.Sprintf("r%d", i))
			break
		}
		x -= part
	}
	if s.order != nil {
		s.requests++
	}
	now := s.now + h.offset
	isNew := h.exposure.Arrive(route, fmt.Sprint(s.random.Uint64()), true, now)
	record := h.record
	sample := Sample{Route: route, New: isNew, Window: h.exposure.Window(now)}
	took := time.Duration(float64(20*time.Millisecond) * math.Exp(0.5*s.random.NormFloat64()))
	if record.Phase == core.RolloutCompleted && record.Current == "v2" {
		s.lastNew = s.now
	}
	failed := s.random.Float64() < 0.002
	took, failed = s.slowed(took, failed, isNew, record.Phase)
	if isNew {
		s.recentNew = append(s.recentNew, s.now)
		s.unproven++
		s.lastNew = s.now
		if record.Phase == core.RolloutProbing {
			s.exposed++
		}
		s.running++
		if s.isBad(route) {
			s.bad++
			if s.bad == 50 {
				s.fiftiethBad = s.now
			}
			if s.fault.slowdown > 0 {
				took = time.Duration(s.fault.slowdown * float64(took))
			} else {
				failed = true
			}
		}
	}
	exposure := h.exposure
	s.later(took, func() {
		if isNew {
			s.running--
		}
		if record.Phase != core.RolloutShifting {
			exposure.RecordTime(sample, took)
		}
		exposure.RecordEnd(sample, failed)
	})
}

// start writes the order.
func (s *simulation) start() {
	s.orderedAt = s.now
	s.order = &core.RolloutOrder{Pool: simPool, To: "v2", Duration: simDuration, Position: core.StorePosition{Era: 1, Revision: 9}}
}
