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
	hostCount      = 3
	maxActive      = 3  // confirmations that run at the same time
	settleTicks    = 20 // ticks of 2 s within which all hosts follow once failures end
	deliveredNever = "lost before it took effect"
	deliveredLate  = "takes effect late, answer lost"
	deliveredLost  = "took effect, answer lost"
	delivered      = "answered"
)

// attempt is one confirmation by one operator.
type attempt struct {
	read    *plan.Plan // what the operator read
	machine *confirm.Machine
	next    confirm.Step
}

// host follows the accepted configuration. A restart gives it a new follower.
type host struct {
	follower  *revision.Follower
	published core.Revision
}

// world is a platform, operators and hosts. Commits take effect by compare-and-swap.
type world struct {
	t        *rapid.T
	now      time.Time
	version  uint64
	head     revision.Head
	objects  map[string]*core.Config
	history  []*core.Config // accepted configurations; revision r at r-1
	late     []confirm.CommitHead
	attempts []*attempt
	hosts    []*host
	void     map[core.PlanID]bool // plans that an operator was told have no effect
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

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: newTime(), objects: map[string]*core.Config{}, void: map[core.PlanID]bool{}}
	for range hostCount {
		w.hosts = append(w.hosts, &host{})
	}
	for i := range w.hosts {
		w.restart(i)
	}
	w.operate(&core.Config{}, plan.Intent{Kind: plan.ApplyDeclarations, Declarations: firstConfig()})
	for w.active() > 0 {
		w.step(w.attempts[0], delivered)
	}
	return w
}

func (w *world) restart(i int) {
	w.hosts[i] = &host{follower: revision.New(revision.DefaultTiming(), uint64(i))}
}

// operate lets an operator plan an intent and, if there is a plan, start to confirm it.
func (w *world) operate(base *core.Config, intent plan.Intent) {
	proposed, err := plan.Compute(base, intent, plan.Load{})
	if err == nil {
		w.start(proposed)
	}
}

func (w *world) start(p *plan.Plan) {
	delete(w.void, p.ID)
	machine := confirm.New(confirm.Request{Plan: p.ID, Base: p.Base, Intent: p.Intent}, w.now)
	w.attempts = append(w.attempts, &attempt{read: p, machine: machine, next: machine.Start()})
}

func (w *world) active() int {
	count := 0
	for _, a := range w.attempts {
		if _, ended := a.next.(confirm.Finish); !ended {
			count++
		}
	}
	return count
}

// step carries out the next step of an attempt with the given fate.
func (w *world) step(a *attempt, fate string) {
	ok := fate == delivered
	switch s := a.next.(type) {
	case confirm.ReadHead:
		a.next = a.machine.HandleHead(confirm.HeadRead{OK: ok, Version: w.version, Head: w.head})
	case confirm.ReadBody:
		body := w.objects[s.Head.Object]
		if !ok {
			body = nil
		}
		a.next = a.machine.HandleBody(body)
	case confirm.PutBody:
		if fate != deliveredNever {
			w.objects[s.Object] = s.Config
		}
		a.next = a.machine.HandlePut(ok)
	case confirm.CommitHead:
		a.next = a.machine.HandleCommit(w.commit(s, fate) && ok)
	}
	if finish, ended := a.next.(confirm.Finish); ended {
		w.finished(a, finish)
	}
}

func (w *world) commit(s confirm.CommitHead, fate string) bool {
	switch fate {
	case deliveredNever:
		return false
	case deliveredLate:
		w.late = append(w.late, s)
		return false
	}
	return w.land(s)
}

// land lets a commit reach the platform.
func (w *world) land(s confirm.CommitHead) bool {
	if s.Version != w.version {
		return false
	}
	w.version++
	w.head = s.Head
	w.history = append(w.history, w.objects[s.Head.Object])
	return true
}

// finished checks what the operator is told against what was accepted.
func (w *world) finished(a *attempt, finish confirm.Finish) {
	others := slices.ContainsFunc(w.attempts, func(b *attempt) bool { return b != a && b.read.ID == a.read.ID })
	switch finish.Outcome {
	case confirm.Accepted, confirm.AlreadyAccepted:
		require.LessOrEqual(w.t, int(finish.Revision), len(w.history), "an accepted plan is lost")
		accepted := w.history[finish.Revision-1]
		require.Equal(w.t, a.read.ID, accepted.Plans[len(accepted.Plans)-1], "an accepted plan is lost")
	case confirm.Conflicted, confirm.Refused, confirm.Unavailable:
		w.void[a.read.ID] = !others
	}
}

// check holds after every action.
func (w *world) check(t *rapid.T) {
	seen := map[core.PlanID]bool{}
	before := &core.Config{}
	for i, config := range w.history {
		require.Equal(t, core.Revision(i+1), config.Revision, "a confirmed change is overwritten")
		id := config.Plans[len(config.Plans)-1]
		require.False(t, seen[id], "a plan takes effect twice")
		require.False(t, w.void[id], "a plan takes effect although its operator was told that it does not")
		at := slices.IndexFunc(w.attempts, func(a *attempt) bool { return a.read.ID == id })
		require.Equal(t, w.attempts[at].read.Steps, plan.Difference(before, config), "a change other than the one that was read")
		seen[id] = true
		before = config
	}
	for _, h := range w.hosts {
		if config := h.follower.InForce(); config != nil {
			require.Equal(t, w.history[config.Revision-1], config, "a host has something in force that was not accepted")
			require.GreaterOrEqual(t, config.Revision, h.published, "a host goes back")
			h.published = config.Revision
		}
	}
}

// run carries out effects of a follower; lost decides which answers do not arrive.
func (w *world) run(h *host, effects []revision.Effect, lost func() bool) {
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch e := effect.(type) {
		case revision.ReadHead:
			effects = append(effects, h.follower.HandleHead(revision.HeadRead{OK: !lost(), Head: w.head}, w.now)...)
		case revision.FetchBody:
			body := w.objects[e.Head.Object]
			if lost() {
				body = nil
			}
			effects = append(effects, h.follower.HandleBody(revision.BodyFetched{Head: e.Head, Config: body}, w.now)...)
		case revision.FetchFromPeer:
			peer := w.hosts[int(e.Host[0]-'0')].follower
			if peer.Revision() > e.Above && !lost() {
				effects = append(effects, h.follower.Offer(peer.InForce(), w.now)...)
			}
		}
	}
}

func (w *world) tick(i int, lost func() bool) {
	w.now = w.now.Add(2 * time.Second)
	w.run(w.hosts[i], w.hosts[i].follower.Tick(w.now), lost)
}

// hear tells a host the revision of another; an old one stands for a stale peer.
func (w *world) hear(i, j int, claimed core.Revision, lost func() bool) {
	id := core.HostID(rune('0' + j))
	w.run(w.hosts[i], w.hosts[i].follower.HandlePeer(id, claimed, w.now), lost)
}
