package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pool"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/message"
)

// executeRevision carries out the effects of the configuration follower.
func (s *state) executeRevision(effects []revision.Effect, now time.Time) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case revision.ReadHead:
			s.effects.ReadConfigHead()
		case revision.FetchBody:
			s.effects.FetchConfigBody(e.Head)
		case revision.FetchFromPeer:
			s.effects.Send(e.Host, message.ConfigRequest{Above: e.Above})
		case revision.Publish:
			s.applyConfig(e.Config, now)
		}
	}
}

// applyConfig replaces the configuration by one that has been validated.
func (s *state) applyConfig(config *core.Config, now time.Time) {
	previous := s.catalog
	s.catalog = core.NewCatalog(config)
	s.dirty = true
	s.ramp.update(previous, s.catalog, now)
	s.log.WithField("revision", config.Revision).Info("configuration in force")
	s.executeOwnership(s.ownership.SetTargets(s.localTargets(), now), now)
	for id := range s.polls {
		s.refreshTarget(id, now)
		s.setDesiredVersion(id, now)
	}
	for id, p := range s.pools {
		s.configurePool(id, p)
	}
	s.broadcastHeartbeat(now)
}

// localTargets lists the declared targets of this host's data centre.
func (s *state) localTargets() []core.TargetID {
	var ids []core.TargetID
	for _, target := range s.catalog.Config.Targets {
		if target.DataCentre == s.self.DataCentre {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

// configurePool sets the limits of a pool's model or service, and the weights of the teams.
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
	// serviceQueueEntries bounds the queue of one plain service at one owner.
	serviceQueueEntries = 256
	// serviceReleaseMargin is added to a service's timeout to get the time after which a
	// call that was never closed stops counting against the service's limit.
	serviceReleaseMargin = 5 * time.Second
)

// handleConfigRequest sends the configuration to a peer that has an older revision.
func (s *state) handleConfigRequest(from core.HostID, m message.ConfigRequest) {
	if s.catalog != nil && s.revision() > m.Above {
		s.effects.SendConfig(from, s.catalog.Config)
	}
}

func (s *state) handlePeerRevision(from core.HostID, peerRevision core.Revision, now time.Time) {
	s.executeRevision(s.follower.HandlePeer(from, peerRevision, now), now)
}
