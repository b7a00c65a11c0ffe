package edgecontrol

import "siskintide.example/siskintide/internal/core"

// followEra begins a new era if an update shows that the store was restored from a copy. A host that has
// just started cannot know when that was, and assumes the latest.
func (s *state) followEra(update *Update) {
	if update.CoversConfig || update.FromHub {
		if era := update.ConfigEra; era > s.configPosition.Era && (s.configPosition.Era > 0 || era > firstEra && !update.FromHub) {
			s.restoration = restoration{noticedAt: s.now(), before: s.view.Evacuated, merged: true}
			s.logEra(s.configPosition, update.configPosition())
		}
	}
	if update.CoversRegistry || update.FromHub {
		if known := s.registry.Position(); known.Era > 0 && update.RegistryEra > known.Era {
			s.registry.BeginEra(update.registryPosition(), s.now())
			s.registryChanged, s.lastRegistryDigest = true, 0
		}
	}
	if era := max(update.ConfigEra, update.RegistryEra); era > s.view.StoreEra {
		s.view.StoreEra, s.changed = era, true
	}
}

func (s *state) logEra(before, after core.StorePosition) {
	age, _ := s.view.ConfigProof.Age(s.now())
	s.log.WithField("era", after.Era).WithField("store_revision", after.Revision).
		WithField("former_era", before.Era).WithField("former_revision", before.Revision).
		WithField("config_age_ms", age.Milliseconds()).Warn("store restored from a copy")
}

// provesConfig reports whether a read of the operator's table proves that no later configuration was
// acknowledged. After a restoration it does once the operator has written again. That is known if a write
// was seen in this era; it is taken for granted after settlePeriod, and at once if this host was up to
// date when the store was lost and the store has no older configuration.
func (s *state) provesConfig(update *Update) bool {
	r := &s.restoration
	if update.Config != nil {
		r.stored = update.Config.Revision
	}
	if r.noticedAt == 0 || r.settled {
		return true
	}
	if s.view.Table == nil || update.SentAt < r.noticedAt+settlePeriod && !s.operatorHasWritten(update) {
		return false
	}
	r.settled = true
	entry := s.log.WithField("revision", s.view.Table.Config.Revision).WithField("stored_revision", r.stored)
	if r.stored < s.view.Table.Config.Revision {
		entry.Warn("the restored store still has an older configuration; the newer one stays in force")
	} else {
		entry.Info("configuration is up to date after the store's restoration")
	}
	return true
}

func (s *state) operatorHasWritten(update *Update) bool {
	if s.restoration.stored < s.view.Table.Config.Revision {
		return false
	}
	seen := update.Config != nil && !update.FullConfig
	return seen || s.view.ConfigProof.Within(s.now(), s.options.MaxConfigAge)
}

// tickEra puts the evacuations of the restored store into force once the operator had the time to write
// them again.
func (s *state) tickEra() {
	if r := &s.restoration; r.merged && s.now() >= r.noticedAt+settlePeriod {
		r.merged = false
		if r.latest != nil {
			s.setEvacuated(r.latest)
		}
	}
}
