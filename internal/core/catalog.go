package core

import (
	"crypto/sha256"
	"encoding/hex"
)

// Catalog is an index of one configuration. It is built once per revision and is safe for
// concurrent readers.
type Catalog struct {
	Config      *Config
	teamsByKey  map[string]*Team
	teams       map[TeamID]*Team
	targets     map[TargetID]*Target
	kinds       map[TargetKindID]*TargetKind
	models      map[ModelID]*Model
	services    map[ServiceID]*Service
	classes     map[Class]*ClassSpec
	dataCentres map[DataCentreID]*DataCentre
}

// NewCatalog indexes a checked configuration.
func NewCatalog(config *Config) *Catalog {
	c := &Catalog{
		Config:      config,
		teamsByKey:  map[string]*Team{},
		teams:       index(config.Teams, func(t *Team) TeamID { return t.ID }),
		targets:     index(config.Targets, func(t *Target) TargetID { return t.ID }),
		kinds:       index(config.Kinds, func(k *TargetKind) TargetKindID { return k.ID }),
		models:      index(config.Models, func(m *Model) ModelID { return m.ID }),
		services:    index(config.Services, func(s *Service) ServiceID { return s.ID }),
		classes:     index(config.Classes, func(s *ClassSpec) Class { return s.ID }),
		dataCentres: index(config.DataCentres, func(d *DataCentre) DataCentreID { return d.ID }),
	}
	for i := range config.Teams {
		for _, digest := range config.Teams[i].KeySHA256 {
			c.teamsByKey[digest] = &config.Teams[i]
		}
	}
	return c
}

func index[K comparable, V any](values []V, key func(*V) K) map[K]*V {
	byKey := make(map[K]*V, len(values))
	for i := range values {
		byKey[key(&values[i])] = &values[i]
	}
	return byKey
}

// TeamByKey returns the team with the given API key, or nil.
func (c *Catalog) TeamByKey(apiKey string) *Team {
	digest := sha256.Sum256([]byte(apiKey))
	return c.teamsByKey[hex.EncodeToString(digest[:])]
}

// Team returns the declaration of a team, or nil.
func (c *Catalog) Team(id TeamID) *Team { return c.teams[id] }

// Target returns the declaration of a target, or nil.
func (c *Catalog) Target(id TargetID) *Target { return c.targets[id] }

// Kind returns the declaration of a target kind, or nil.
func (c *Catalog) Kind(id TargetKindID) *TargetKind { return c.kinds[id] }

// Model returns the declaration of a model, or nil.
func (c *Catalog) Model(id ModelID) *Model { return c.models[id] }

// Service returns the declaration of a plain service, or nil.
func (c *Catalog) Service(id ServiceID) *Service { return c.services[id] }

// Class returns the declaration of a request class, or nil.
func (c *Catalog) Class(id Class) *ClassSpec { return c.classes[id] }

// DataCentre returns the declaration of a data centre, or nil.
func (c *Catalog) DataCentre(id DataCentreID) *DataCentre { return c.dataCentres[id] }

// Accepts reports whether new work may be sent to the target: both the target and its data
// centre must be declared and in StateIn.
func (c *Catalog) Accepts(id TargetID) bool {
	target := c.targets[id]
	if target == nil || target.State != StateIn {
		return false
	}
	centre := c.dataCentres[target.DataCentre]
	return centre != nil && centre.State == StateIn
}
