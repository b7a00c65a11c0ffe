package edgecontrol

import (
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/freshness"
	"siskintide.example/siskintide/internal/decide/hub"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/quarantine"
	"siskintide.example/siskintide/internal/decide/ratelimit"
	"siskintide.example/siskintide/internal/decide/registry"
	"siskintide.example/siskintide/internal/decide/retrybudget"
	"siskintide.example/siskintide/internal/message"
)

// state is the control state. Only the goroutine of Loop.Run accesses it.
type state struct {
	options              *Options
	log                  log.Interface
	view                 View // next view; published if changed
	changed              bool
	sharedConfig         *message.Shared[*core.RoutingConfig] // configuration of the view's table, as it is sent to subscribers
	configPosition       core.StorePosition                   // of the store, up to which all changes of configuration and evacuations are included
	restoration          restoration                          // of the store from a copy
	registryChanged      bool
	registry             *registry.Registry
	sharedRegistry       *message.Shared[[]core.Registration] // as it is sent to subscribers; see registryForUpdate
	sharedRegistryDigest uint64
	sharedRegistryAt     time.Duration
	lastRegistryDigest   uint64 // zero after a change of the registry
	balancer             *placement.Balancer
	candidatesByPool     map[candidateKey][]placement.Candidate // built lazily from the current view; nil after a change
	retryBudgets         map[core.PoolID]*retrybudget.Budget    // this host's share of the retry budget
	grantBudgets         map[core.PoolID]*retrybudget.Budget    // retries granted on request, to any host
	ranksFirst           bool                                   // this host ranks before all others and grants retries
	quarantine           *quarantine.Tracker
	evidenceSentAt       time.Duration
	hubLacksEvidence     bool // evidence on prompt parts has not been sent to the hub
	limits               *ratelimit.Limits
	hubLacksLimits       bool                                 // the targets' limits have not been sent to the hub
	permits              map[core.TargetID]*ratelimit.Permits // issued by this host
	gates                map[core.PoolID]*ratelimit.Gate
	permitTimers         map[core.PoolID]bool // a permitsDueEvent will come
	permitWaiters        map[uint64]permitWaiter
	lastWaiter           uint64
	rollouts             *rollouts // nil if versions do not matter
	startedAt            time.Duration
	hosts                []core.Host // hosts of the deployment, this one included
	hostsKnown           bool        // the list of hosts has been read
	hostsChanged         bool
	hostsSentAt          time.Duration
	storeUnavailable     bool
	storeFailedAt        time.Duration   // when the latest of the calls to the store that have failed was sent
	ownStoreReads        freshness.Proof // last read of the store by this host itself

	responsesDue bool // delayed responses are sent once the subscribers have what was read

	chooser       *hub.Chooser
	hub           core.HostID // empty if there is none
	subscription  subscription
	subscribers   map[core.HostID]*subscriber
	pending       map[uint64]pendingPlacement
	lastPlacement uint64 // number of the last placement requested from a hub
	loadChanged   bool
	loadSentAt    time.Duration

	pace            paceReport
	paceGaugesAt    time.Duration
	avoidedLoggedAt time.Duration
}

func newState(options *Options) *state {
	return &state{
		options:       options,
		log:           options.Log,
		registry:      registry.New(),
		balancer:      placement.NewBalancer(),
		retryBudgets:  map[core.PoolID]*retrybudget.Budget{},
		grantBudgets:  map[core.PoolID]*retrybudget.Budget{},
		hosts:         []core.Host{options.Self},
		quarantine:    quarantine.NewTracker(hostFraction(options.Self.ID)),
		limits:        ratelimit.NewLimits(),
		rollouts:      newRollouts(options),
		permits:       map[core.TargetID]*ratelimit.Permits{},
		gates:         map[core.PoolID]*ratelimit.Gate{},
		permitTimers:  map[core.PoolID]bool{},
		permitWaiters: map[uint64]permitWaiter{},
		chooser:       hub.NewChooser(),
		subscribers:   map[core.HostID]*subscriber{},
		// Numbers begin where no former incarnation of this host has been.
		subscription:  subscription{number: uint64(options.Clock())},
		lastPlacement: uint64(options.Clock()),
		pending:       map[uint64]pendingPlacement{},
	}
}

// hostFraction returns a fraction between 0 and 1 that is evenly distributed over the hosts.
func hostFraction(id core.HostID) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
}

func (s *state) now() time.Duration { return s.options.Clock() }

// retryBudget returns this host's share of a pool's retry budget.
func (s *state) retryBudget(pool core.PoolID) *retrybudget.Budget {
	if s.retryBudgets[pool] == nil {
		own := s.options.RetryBudget
		own.Slack *= 1 - onDemandFraction
		s.retryBudgets[pool] = retrybudget.NewBudget(own)
	}
	return s.retryBudgets[pool]
}

// candidates lists the targets of a pool that may get new work, without those of a version that is being rolled
// out. Callers must not modify the list.
func (s *state) candidates(pool core.PoolID) []placement.Candidate {
	if s.rollouts == nil {
		return s.candidatesOf(candidateKey{pool: pool})
	}
	version, known := s.mainVersion(pool)
	if !known {
		return nil
	}
	return s.candidatesOf(candidateKey{pool: pool, versioned: true, version: version})
}

// candidatesOf lists the targets that a key selects and that may get new work. Callers must not modify the list.
func (s *state) candidatesOf(key candidateKey) []placement.Candidate {
	pool := key.pool
	all, listed := s.candidatesByPool[key]
	if listed || s.view.Table == nil {
		return all
	}
	spec := s.view.Table.Pool(pool)
	for id, entry := range s.view.Targets {
		if entry.Pool != pool || !s.view.Usable(id) {
			continue
		}
		candidate := placement.Candidate{
			Target:     id,
			Address:    entry.Address,
			DataCentre: entry.DataCentre,
			Slots:      entry.Slots,
			Version:    entry.Version,
		}
		if spec != nil && spec.Engine != nil {
			candidate.Memory = spec.Engine.MemoryTokens
		}
		all = append(all, candidate)
	}
	if s.candidatesByPool == nil {
		s.candidatesByPool = map[candidateKey][]placement.Candidate{}
	}
	all = s.selectVersion(all, key)
	s.candidatesByPool[key] = all
	return all
}
