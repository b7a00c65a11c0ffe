package configcheck

import (
	"regexp"
	"strings"

	"siskintide.example/siskintide/internal/core"
)

const (
	maxQueueMS = 10 * 60 * 1000 // ms; no caller waits longer than this for a ticket
	maxWeight  = 1000           // largest ratio of the weights of two teams
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (c *checker) checkModels() {
	const section = "models"
	seen := map[string]bool{}
	for i, model := range c.config.Models {
		c.checkIdentifier(seen, section, i, string(model.ID))
		c.checkVersion(section, i, model.Version)
		c.requireAtLeast(section, i, "weight_bytes", model.WeightBytes, 1)
		c.requireAtLeast(section, i, "max_tokens", int64(model.MaxTokens), 1)
		c.requireAtLeast(section, i, "queue_ms", model.QueueMS, 1)
		c.requireAtLeast(section, i, "queue_entries", int64(model.QueueEntries), 1)
		if model.QueueMS > maxQueueMS {
			c.addFault(section, i, "queue_ms", "more than ten minutes", "milliseconds from 1 to 600000")
		}
	}
}

func (c *checker) checkServices() {
	const section = "services"
	seen := map[string]bool{}
	for i, service := range c.config.Services {
		c.checkIdentifier(seen, section, i, string(service.ID))
		c.requireAtLeast(section, i, "timeout_ms", service.TimeoutMS, 1)
		for _, path := range service.NonIdempotentPaths {
			c.require(strings.HasPrefix(path, "/"), section, i, "unrepeatable_paths", path, `path prefixes that start with "/"`)
		}
		if len(service.NonIdempotentPaths) > 0 {
			c.requireAtLeast(section, i, "keep_answer_s", service.KeepAnswerS, 1)
		}
	}
}

func (c *checker) checkClasses() {
	const section = "classes"
	if len(c.config.Classes) == 0 {
		c.addFault(section, wholeList, "", "no entry", "at least one class")
	}
	seen := map[string]bool{}
	for i, class := range c.config.Classes {
		c.checkIdentifier(seen, section, i, string(class.ID))
		c.requireAtLeast(section, i, "priority", int64(class.Priority), 0)
	}
}

func (c *checker) checkTeams() {
	const section = "teams"
	ids := map[string]bool{}
	digests := map[string]bool{}
	for i, team := range c.config.Teams {
		c.checkIdentifier(ids, section, i, string(team.ID))
		c.checkDigests(digests, section, i, team)
		c.requireAtLeast(section, i, "weight", int64(team.Weight), 1)
		c.requireAtLeast(section, i, "max_streams", int64(team.MaxStreams), 0)
		if team.Weight > maxWeight {
			c.addFault(section, i, "weight", "more than 1000", "a whole number from 1 to 1000")
		}
		c.require(c.catalog.Class(team.Class) != nil, section, i, "class", string(team.Class), "the id of a declared class")
	}
}

func (c *checker) checkDigests(seen map[string]bool, section string, i int, team core.Team) {
	if len(team.KeySHA256) == 0 {
		c.addFault(section, i, "key_sha256", "no digest", "at least one SHA-256 digest of an API key")
	}
	for _, digest := range team.KeySHA256 {
		c.require(digestPattern.MatchString(digest), section, i, "key_sha256", digest, "64 lower-case hexadecimal digits")
		c.require(!seen[digest], section, i, "key_sha256", digest, "a digest that is given once only")
		seen[digest] = true
	}
}

// checkPools reports models and services that no target serves.
func (c *checker) checkPools() {
	served := map[core.PoolID]bool{}
	for _, target := range c.config.Targets {
		served[target.Pool()] = true
	}
	for i, model := range c.config.Models {
		c.require(served[core.ModelPool(model.ID)], "models", i, "id", string(model.ID), "a model that at least one target serves")
	}
	for i, service := range c.config.Services {
		c.require(served[core.ServicePool(service.ID)], "services", i, "id", string(service.ID), "a service that at least one target serves")
	}
}
