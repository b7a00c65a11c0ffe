package confirm_test

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/confirm"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/decide/revision"
)

const (
	hostCount     = 3
	maxActive     = 3  // confirmations that run at the same time
	convergeTicks = 20 // ticks of 2 s within which all hosts reach the newest revision once failures end
	neverApplied  = "lost before it took effect"
	appliedLate   = "takes effect late, answer lost"
	answerLost    = "took effect, answer lost"
	answered      = "answered"
)

// attempt is one confirmation by one operator.
type attempt struct {
	read    *plan.Plan // plan that the operator read
	machine *confirm.Machine
	next    confirm.Step
}

// host follows the accepted configuration. A restart replaces its follower.
type host struct {
	follower  *revision.Follower
	published core.Revision
}

// simulation simulates the platform, operators and hosts. Commits take effect by
// compare-and-swap.
type simulation struct {
	t             *rapid.T
	now           time.Time
	version       uint64
	head          revision.Head
	objects       map[string]*core.Config
	history       []*core.Config // accepted configurations; revision r at r-1
	late          []confirm.CommitHead
	attempts      []*attempt
	hosts         []*host
	withoutEffect map[core.PlanID]bool // plans reported to an operator as without effect
}

func firstConfig() *core.Config {
	centres := []core.DataCentre{{ID: "a", State: core.StateIn}, {ID: "b", State: core.StateIn}, {ID: "c", State: core.StateIn}}
	config := &core.Config{
		DataCentres: centres,
		Kinds:       []core.TargetKind{{ID: "k", Role: core.RoleEngine, ColdStreams: 1, WarmStreams: 4, MemoryTokens: 10}},
		Models:      []core.Model{{ID: "m", Version: "1"}},
	}
	for _, id := range []core.TargetID{"a-1", "b-1", "c-1"} {
		target := core.Target{ID: id, DataCentre: core.DataCentreID(id[:1]), Kind: "k", Model: "m", Version: "1", State: core.StateIn}
		config.Targets = append(config.Targets, target)
	}
	return config
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: newTime(), objects: map[string]*core.Config{}, withoutEffect: map[core.PlanID]bool{}}
	for range hostCount {
		sim.hosts = append(sim.hosts, &host{})
	}
	for i := range sim.hosts {
		sim.restart(i)
	}
	sim.operate(&core.Config{}, plan.Intent{Kind: plan.ApplyDeclarations, Declarations: firstConfig()})
	for sim.active() > 0 {
		sim.step(sim.attempts[0], answered)
	}
	return sim
}

func (sim *simulation) restart(i int) {
	sim.hosts[i] = &host{follower: revision.New(revision.DefaultTiming(), uint64(i))}
}

// operate plans an intent and starts its confirmation, unless it is refused.
func (sim *simulation) operate(base *core.Config, intent plan.Intent) {
	proposed, err := plan.Compute(base, intent, plan.Load{})
	if err == nil {
		sim.start(proposed)
	}
}

func (sim *simulation) start(p *plan.Plan) {
	delete(sim.withoutEffect, p.ID)
	machine := confirm.New(confirm.Request{Plan: p.ID, Base: p.Base, Intent: p.Intent}, sim.now)
	sim.attempts = append(sim.attempts, &attempt{read: p, machine: machine, next: machine.Start()})
}

func (sim *simulation) active() int {
	count := 0
	for _, a := range sim.attempts {
		if _, ended := a.next.(confirm.Finish); !ended {
			count++
		}
	}
	return count
}

// step executes the next step of an attempt with the given delivery.
func (sim *simulation) step(a *attempt, delivery string) {
	ok := delivery == answered
	switch s := a.next.(type) {
	case confirm.ReadHead:
		a.next = a.machine.HandleHead(confirm.HeadRead{OK: ok, Version: sim.version, Head: sim.head})
	case confirm.ReadBody:
		body := sim.objects[s.Head.Object]
		if !ok {
			body = nil
		}
		a.next = a.machine.HandleBody(body)
	case confirm.PutBody:
		if delivery != neverApplied {
			sim.objects[s.Object] = s.Config
		}
		a.next = a.machine.HandlePut(ok)
	case confirm.CommitHead:
		a.next = a.machine.HandleCommit(sim.commit(s, delivery) && ok)
	}
	if finish, ended := a.next.(confirm.Finish); ended {
		sim.finished(a, finish)
	}
}

func (sim *simulation) commit(s confirm.CommitHead, delivery string) bool {
	switch delivery {
	case neverApplied:
		return false
	case appliedLate:
		sim.late = append(sim.late, s)
		return false
	}
	return sim.apply(s)
}

// apply applies a commit on the platform.
func (sim *simulation) apply(s confirm.CommitHead) bool {
	if s.Version != sim.version {
		return false
	}
	sim.version++
	sim.head = s.Head
	sim.history = append(sim.history, sim.objects[s.Head.Object])
	return true
}

// finished checks the outcome reported to the operator against the accepted history.
func (sim *simulation) finished(a *attempt, finish confirm.Finish) {
	others := slices.ContainsFunc(sim.attempts, func(b *attempt) bool { return b != a && b.read.ID == a.read.ID })
	switch finish.Outcome {
	case confirm.Accepted, confirm.AlreadyAccepted:
		require.LessOrEqual(sim.t, int(finish.Revision), len(sim.history), "an accepted plan is lost")
		accepted := sim.history[finish.Revision-1]
		require.Equal(sim.t, a.read.ID, accepted.Plans[len(accepted.Plans)-1], "an accepted plan is lost")
	case confirm.Conflicted, confirm.Refused, confirm.Unavailable:
		sim.withoutEffect[a.read.ID] = !others
	}
}

// check checks the invariants that hold after every action.
func (sim *simulation) check(t *rapid.T) {
	seen := map[core.PlanID]bool{}
	before := &core.Config{}
	for i, config := range sim.history {
		require.Equal(t, core.Revision(i+1), config.Revision, "a confirmed change is overwritten")
		id := config.Plans[len(config.Plans)-1]
		require.False(t, seen[id], "a plan takes effect twice")
		require.False(t, sim.withoutEffect[id], "a plan takes effect although its operator was told that it does not")
		at := slices.IndexFunc(sim.attempts, func(a *attempt) bool { return a.read.ID == id })
		require.Equal(t, sim.attempts[at].read.Steps, plan.Difference(before, config), "a change other than the one that was read")
		seen[id] = true
		before = config
	}
	for _, h := range sim.hosts {
		if config := h.follower.InForce(); config != nil {
			require.Equal(t, sim.history[config.Revision-1], config, "a host has a configuration in force that was not accepted")
			require.GreaterOrEqual(t, config.Revision, h.published, "a host goes back")
			h.published = config.Revision
		}
	}
}

// run executes the effects of a follower; lost decides which responses are lost.
func (sim *simulation) run(h *host, effects []revision.Effect, lost func() bool) {
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch e := effect.(type) {
		case revision.ReadHead:
			effects = append(effects, h.follower.HandleHead(revision.HeadRead{OK: !lost(), Head: sim.head}, sim.now)...)
		case revision.FetchBody:
			body := sim.objects[e.Head.Object]
			if lost() {
				body = nil
			}
			effects = append(effects, h.follower.HandleBody(revision.BodyFetched{Head: e.Head, Config: body}, sim.now)...)
		case revision.FetchFromPeer:
			peer := sim.hosts[int(e.Host[0]-'0')].follower
			if peer.Revision() > e.Above && !lost() {
				effects = append(effects, h.follower.Offer(peer.InForce(), sim.now)...)
			}
		}
	}
}

func (sim *simulation) tick(i int, lost func() bool) {
	sim.now = sim.now.Add(2 * time.Second)
	sim.run(sim.hosts[i], sim.hosts[i].follower.Tick(sim.now), lost)
}

// announce reports the revision of one host to another; an old revision simulates a stale peer.
func (sim *simulation) announce(i, j int, claimed core.Revision, lost func() bool) {
	id := core.HostID(rune('0' + j))
	sim.run(sim.hosts[i], sim.hosts[i].follower.HandlePeer(id, claimed, sim.now), lost)
}
