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

// state is all mutable control state of a host. Only the control goroutine touches it.
type state struct {
	self     core.Host
	session  core.SessionID
	settings Settings
	log      log.Interface
	ports    Effects

	catalog   *core.Catalog // nil until a configuration is in force
	follower  *revision.Follower
	ramp      *ramp
	members   *membership.View
	ownership *ownership.Machine

	pools   map[core.PoolID]*pool.Pool
	ownedIn map[core.TargetID]core.PoolID // pool that each owned target was put in
	polls   map[core.TargetID]*poll       // owned targets

	orders      map[core.TargetID]*engineOrders // owned engines
	orderTiming orders.Timing

	usedPools map[core.PoolID]time.Time      // when local callers last asked for each
	pending   map[core.GenerationID]*pending // demands of this host's callers
	held      map[core.GenerationID]*held    // tickets of this host's callers

	summaries  map[summaryKey]*summary             // what owners last told
	announced  map[core.PoolID]*announced          // what this host last told
	heartbeats map[core.HostID]message.Heartbeat   // latest of each peer
	loads      map[core.HostID]message.TargetLoads // latest of each peer
	limits     map[core.TargetID]knownLimit        // what other owners last gave their targets

	leaving         bool
	platformReached bool
	dirty           bool // the published view is out of date

	tickedAt      time.Time
	nextHeartbeat time.Time
	nextProgress  time.Time
	nextCheck     time.Time
	nextView      time.Time
	nextLoads     time.Time
}

func newState(options Options) *state {
	s := &state{
		self:        options.Self,
		session:     options.Session,
		settings:    options.Settings,
		log:         options.Log,
		follower:    revision.New(revision.DefaultTiming(), options.JitterSeed),
		ramp:        newRamp(),
		members:     membership.New(options.Self, membership.DefaultSettings()),
		ownership:   ownership.New(options.Self.ID, options.Session, options.Timing),
		pools:       map[core.PoolID]*pool.Pool{},
		ownedIn:     map[core.TargetID]core.PoolID{},
		polls:       map[core.TargetID]*poll{},
		orders:      map[core.TargetID]*engineOrders{},
		usedPools:   map[core.PoolID]time.Time{},
		pending:     map[core.GenerationID]*pending{},
		held:        map[core.GenerationID]*held{},
		summaries:   map[summaryKey]*summary{},
		announced:   map[core.PoolID]*announced{},
		heartbeats:  map[core.HostID]message.Heartbeat{},
		orderTiming: orderTiming(options.Timing.LeaseTTL),
		loads:       map[core.HostID]message.TargetLoads{},
		limits:      map[core.TargetID]knownLimit{},
	}
	if len(options.SeedHosts) > 0 {
		s.members.SetHostList(options.SeedHosts, options.Clock.Now())
	}
	return s
}
