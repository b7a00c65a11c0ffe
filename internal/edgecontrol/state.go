package edgecontrol

import (
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/freshness"
	"siskintide.example/siskintide/internal/decide/hub"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/registry"
	"siskintide.example/siskintide/internal/decide/retrybudget"
)

// state is the control state. Only the goroutine of Loop.Run touches it.
type state struct {
	options        *Options
	log            log.Interface
	view           View // next view; published if changed
	changed        bool
	membersChanged bool
	registry       *registry.Registry
	book           *placement.Balancer
	pools          map[core.PoolID][]placement.Candidate // by the last view; nil once it has changed
	repeats        map[core.PoolID]*retrybudget.Budget   // this host's share of second sends
	grants         map[core.PoolID]*retrybudget.Budget   // second sends granted to other hosts
	first          bool                                  // this host ranks before all others
	startedAt      time.Duration
	hosts          []core.Host // that share bounds, this one included
	hostsChanged   bool
	hostsSentAt    time.Duration
	storeAway      bool
	registryProof  freshness.Proof
	ownReads       freshness.Proof // last read of the store by this host itself

	chooser     *hub.Chooser
	hub         core.HostID            // that placements are asked of; empty for none
	received    map[core.HostID]uint64 // number of the last knowledge received
	askers      map[core.HostID]*asker
	pending     map[uint64]pendingPlace
	placements  uint64 // number of the last placement asked for
	loadChanged bool
	workSentAt  time.Duration
}

func newState(options *Options) *state {
	return &state{
		options:  options,
		log:      options.Log,
		registry: registry.New(),
		book:     placement.NewBalancer(),
		repeats:  map[core.PoolID]*retrybudget.Budget{},
		grants:   map[core.PoolID]*retrybudget.Budget{},
		hosts:    []core.Host{options.Self},
		chooser:  hub.NewChooser(),
		received: map[core.HostID]uint64{},
		askers:   map[core.HostID]*asker{},
		pending:  map[uint64]pendingPlace{},
	}
}

func (s *state) now() time.Duration { return s.options.Clock() }

// ledger returns the count of second sends of a pool.
func (s *state) ledger(pool core.PoolID) *retrybudget.Budget {
	if s.repeats[pool] == nil {
		own := s.options.RetryBudget
		own.Slack *= 1 - grantedPart
		s.repeats[pool] = retrybudget.NewBudget(own)
	}
	return s.repeats[pool]
}

// candidates lists the targets of a pool that may take new work. The list is shared.
func (s *state) candidates(pool core.PoolID) []placement.Candidate {
	all, listed := s.pools[pool]
	if listed {
		return all
	}
	spec := s.view.Table.Pool(pool)
	for id, member := range s.view.Targets {
		if member.Pool != pool || !s.view.Usable(id) {
			continue
		}
		candidate := placement.Candidate{
			Target:     id,
			Address:    member.Address,
			DataCentre: member.DataCentre,
			Slots:      member.Slots,
		}
		if spec != nil && spec.Engine != nil {
			candidate.Memory = spec.Engine.MemoryTokens
		}
		all = append(all, candidate)
	}
	if s.pools == nil {
		s.pools = map[core.PoolID][]placement.Candidate{}
	}
	s.pools[pool] = all
	return all
}
