package control

import (
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/membership"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/pool"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/message"
)

// state is all mutable control state of a host. Only the control goroutine accesses it.
type state struct {
	self     core.Host
	session  core.SessionID
	settings Settings
	log      log.Interface
	effects  Effects

	catalog   *core.Catalog // nil until a configuration is in force
	follower  *revision.Follower
	ramp      *ramp
	members   *membership.View
	ownership *ownership.Machine

	pools       map[core.PoolID]*pool.Pool
	targetPools map[core.TargetID]core.PoolID // pool of each owned target
	polls       map[core.TargetID]*poll       // owned targets

	orders      map[core.TargetID]*engineOrders // owned engines
	orderTiming orders.Timing

	usedPools   map[core.PoolID]time.Time             // time of the last local request to each
	pending     map[core.GenerationID]*pendingRequest // unanswered requests of this host's callers
	heldTickets map[core.GenerationID]*heldTicket     // tickets held by this host's callers

	capacities     map[capacityKey]*ownerCapacity      // latest of each owner, this host included
	sentCapacities map[core.PoolID]*sentCapacity       // latest that this host sent
	heartbeats     map[core.HostID]message.Heartbeat   // latest of each peer
	loads          map[core.HostID]message.TargetLoads // latest of each peer
	limits         map[core.TargetID]reportedLimit     // latest limits that other owners reported

	leaving         bool
	platformReached bool
	dirty           bool // the published snapshot is out of date

	tickedAt        time.Time
	nextHeartbeat   time.Time
	nextProgress    time.Time
	nextHeldTickets time.Time
	nextSnapshot    time.Time
	nextLoads       time.Time
}

func newState(options Options) *state {
	s := &state{
		self:           options.Self,
		session:        options.Session,
		settings:       options.Settings,
		log:            options.Log,
		follower:       revision.New(revision.DefaultTiming(), options.JitterSeed),
		ramp:           newRamp(),
		members:        membership.New(options.Self, membership.DefaultSettings()),
		ownership:      ownership.New(options.Self.ID, options.Session, options.Timing),
		pools:          map[core.PoolID]*pool.Pool{},
		targetPools:    map[core.TargetID]core.PoolID{},
		polls:          map[core.TargetID]*poll{},
		orders:         map[core.TargetID]*engineOrders{},
		usedPools:      map[core.PoolID]time.Time{},
		pending:        map[core.GenerationID]*pendingRequest{},
		heldTickets:    map[core.GenerationID]*heldTicket{},
		capacities:     map[capacityKey]*ownerCapacity{},
		sentCapacities: map[core.PoolID]*sentCapacity{},
		heartbeats:     map[core.HostID]message.Heartbeat{},
		orderTiming:    orderTiming(options.Timing.LeaseTTL),
		loads:          map[core.HostID]message.TargetLoads{},
		limits:         map[core.TargetID]reportedLimit{},
	}
	if len(options.SeedHosts) > 0 {
		s.members.SetHostList(options.SeedHosts, options.Clock.Now())
	}
	return s
}
