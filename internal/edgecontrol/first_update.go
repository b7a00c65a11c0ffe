package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/registry"
	"siskintide.example/siskintide/internal/message"
)

// firstUpdate returns the update that begins a subscription: all of this host's state that the
// subscriber does not have yet.
func (s *state) firstUpdate(has message.HubRequest, now time.Duration) message.HubUpdate {
	m := s.newHubUpdate()
	m.First = true
	if s.view.Table != nil {
		m.HasEvacuated = true
		if s.view.Table.Config.Revision != has.Revision {
			m.Config = s.sharedConfig
		}
	}
	for id := range s.view.Evacuated {
		m.Evacuated = append(m.Evacuated, id)
	}
	if s.view.RegistryLoaded && s.registryDigest() != has.RegistryDigest {
		m.Registry = s.registryForUpdate(now)
	} else {
		m.RegistryDigest = s.registryDigest()
	}
	if len(s.hosts) != has.HostCount {
		m.Hosts = s.hosts
	}
	s.addAllRollouts(&m)
	return m
}

// registryForUpdate returns the whole registry for a first update. The same one, with its remaining
// cold times, is used for up to sharedRegistryTTL, so that many subscribers that begin together cost
// one encoding.
func (s *state) registryForUpdate(now time.Duration) *message.Shared[[]core.Registration] {
	digest := s.registryDigest()
	if s.sharedRegistry == nil || digest != s.sharedRegistryDigest || now-s.sharedRegistryAt > sharedRegistryTTL {
		var all []core.Registration
		for _, entry := range s.registry.Entries() {
			all = append(all, registrationAt(entry, now))
		}
		s.sharedRegistry, s.sharedRegistryDigest, s.sharedRegistryAt = message.NewShared(all), digest, now
	}
	return s.sharedRegistry
}

// registryDigest returns the digest of the registry, or zero if no registry is known.
func (s *state) registryDigest() uint64 {
	if !s.view.RegistryLoaded {
		return 0
	}
	if s.lastRegistryDigest == 0 {
		s.lastRegistryDigest = s.registry.Digest()
	}
	return s.lastRegistryDigest
}

// registrationAt returns a target's registration with ColdLeft as of now.
func registrationAt(entry registry.Entry, now time.Duration) core.Registration {
	registration := entry.Registration
	registration.ColdLeft = max(entry.ColdUntil-now, 0)
	return registration
}
