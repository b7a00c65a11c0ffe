package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pool"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/message"
)

// executeRevision carries out the effects of following the accepted configuration.
func (s *state) executeRevision(effects []revision.Effect, now time.Time) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case revision.ReadHead:
			s.ports.ReadConfigHead()
		case revision.FetchBody:
			s.ports.FetchConfigBody(e.Head)
		case revision.FetchFromPeer:
			s.ports.Send(e.Host, message.ConfigRequest{Above: e.Above})
		case revision.Publish:
			s.putInForce(e.Config, now)
		}
	}
}

// putInForce swaps in a whole checked configuration.
func (s *state) putInForce(config *core.Config, now time.Time) {
	previous := s.catalog
	s.catalog = core.NewCatalog(config)
	s.dirty = true
	s.ramp.update(previous, s.catalog, now)
	s.log.WithField("revision", config.Revision).Info("configuration in force")
	s.executeOwnership(s.ownership.SetTargets(s.localTargets(), now), now)
	for id := range s.polls {
		s.refreshTarget(id, now)
		s.orderTarget(id, now)
	}
	for id, p := range s.pools {
		s.configurePool(id, p)
	}
	s.beat(now)
}

// localTargets lists the declared targets of the host's data centre.
func (s *state) localTargets() []core.TargetID {
	var ids []core.TargetID
	for _, target := range s.catalog.Config.Targets {
		if target.DataCentre == s.self.DataCentre {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

// configurePool gives a pool the bounds of its model or service and the teams' weights.
func (s *state) configurePool(id core.PoolID, p *pool.Pool) {
	weights := make(map[core.TeamID]int, len(s.catalog.Config.Teams))
	for _, team := range s.catalog.Config.Teams {
		weights[team.ID] = team.Weight
	}
	p.SetTeamWeights(weights)
	p.SetSettings(s.poolSettings(id))
}

func (s *state) poolSettings(id core.PoolID) pool.Settings {
	for _, model := range s.catalog.Config.Models {
		if core.ModelPool(model.ID) == id {
			return pool.Settings{QueueEntries: model.QueueEntries, MaxTokens: model.MaxTokens}
		}
	}
	for _, service := range s.catalog.Config.Services {
		if core.ServicePool(service.ID) == id {
			timeout := time.Duration(service.TimeoutMS) * time.Millisecond
			return pool.Settings{QueueEntries: serviceQueueEntries, ReleaseAfter: timeout + serviceReleaseMargin}
		}
	}
	return pool.Settings{}
}

const (
	// serviceQueueEntries bounds the calls that wait for a plain service on one owner.
	serviceQueueEntries = 256
	// serviceReleaseMargin is added to a service's timeout before a call that nobody
	// closed stops counting against the service's limit.
	serviceReleaseMargin = 5 * time.Second
)

// handleConfigWanted answers a peer that lacks the revision in force.
func (s *state) handleConfigWanted(from core.HostID, m message.ConfigRequest) {
	if s.catalog != nil && s.revision() > m.Above {
		s.ports.SendConfig(from, s.catalog.Config)
	}
}

func (s *state) heardRevision(from core.HostID, heard core.Revision, now time.Time) {
	s.executeRevision(s.follower.HandlePeer(from, heard, now), now)
}
