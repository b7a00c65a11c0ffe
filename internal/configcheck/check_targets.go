package configcheck

import (
	"siskintide.example/siskintide/internal/core"
)

func (c *checker) checkDataCentres() {
	const section = "data_centres"
	if len(c.config.DataCentres) == 0 {
		c.addFault(section, wholeList, "", "no entry", "at least one data centre")
	}
	seen := map[string]bool{}
	for i, dataCentre := range c.config.DataCentres {
		c.checkIdentifier(seen, section, i, string(dataCentre.ID))
		c.require(ValidIdentifier(string(dataCentre.Region)), section, i, "region", string(dataCentre.Region), IdentifierForm)
		c.checkState(section, i, dataCentre.State)
	}
}

func (c *checker) checkKinds() {
	const section = "target_kinds"
	seen := map[string]bool{}
	for i, kind := range c.config.Kinds {
		c.checkIdentifier(seen, section, i, string(kind.ID))
		c.requireAtLeast(section, i, "cold_streams", int64(kind.ColdStreams), 1)
		c.requireAtLeast(section, i, "warm_streams", int64(kind.WarmStreams), int64(max(kind.ColdStreams, 1)))
		switch kind.Role {
		case core.RoleEngine:
			c.checkEngineKind(section, i, kind)
		case core.RoleService:
		default:
			c.require(false, section, i, "role", string(kind.Role), `"engine" or "service"`)
		}
	}
}

func (c *checker) checkEngineKind(section string, i int, kind core.TargetKind) {
	c.requireAtLeast(section, i, "memory_tokens", int64(kind.MemoryTokens), 1)
	c.requireAtLeast(section, i, "first_token_ms", kind.FirstTokenMS, 1)
	c.requireAtLeast(section, i, "token_gap_ms", kind.TokenGapMS, 1)
	c.requireAtLeast(section, i, "weight_bytes", kind.WeightBytes, 1)
	c.requireAtLeast(section, i, "max_context_tokens", int64(kind.MaxContextTokens), 1)
	if kind.MaxContextTokens > kind.MemoryTokens {
		c.addFault(section, i, "max_context_tokens", "more than memory_tokens", "at most memory_tokens")
	}
}

func (c *checker) checkTargets() {
	seen := map[string]bool{}
	for i, target := range c.config.Targets {
		c.checkTarget(seen, i, target)
	}
}

func (c *checker) checkTarget(seen map[string]bool, i int, target core.Target) {
	const section = "targets"
	c.checkIdentifier(seen, section, i, string(target.ID))
	known := c.catalog.DataCentre(target.DataCentre) != nil
	c.require(known, section, i, "data_centre", string(target.DataCentre), "the id of a declared data centre")
	c.require(ReachableAddress(target.Address), section, i, "address", target.Address, AddressForm)
	c.require(!c.addresses[target.Address], section, i, "address", target.Address, "an address that no earlier target has")
	c.addresses[target.Address] = true
	c.checkState(section, i, target.State)
	kind := c.catalog.Kind(target.Kind)
	if kind == nil {
		c.require(false, section, i, "kind", string(target.Kind), "the id of a declared target kind")
		return
	}
	if kind.Role == core.RoleService {
		c.checkServiceTarget(section, i, target)
		return
	}
	c.checkEngineTarget(section, i, target, kind)
}

func (c *checker) checkServiceTarget(section string, i int, target core.Target) {
	known := c.catalog.Service(target.Service) != nil
	c.require(known, section, i, "service", string(target.Service), "the id of a declared service, because the kind's role is service")
	c.require(target.Model == "", section, i, "model", string(target.Model), "no model, because the kind's role is service")
	c.require(target.Version == "", section, i, "version", string(target.Version), "no version, because the kind's role is service")
}

func (c *checker) checkEngineTarget(section string, i int, target core.Target, kind *core.TargetKind) {
	c.require(target.Service == "", section, i, "service", string(target.Service), "no service, because the kind's role is engine")
	c.checkVersion(section, i, target.Version)
	model := c.catalog.Model(target.Model)
	if model == nil {
		c.require(false, section, i, "model", string(target.Model), "the id of a declared model, because the kind's role is engine")
		return
	}
	fits := model.WeightBytes <= kind.WeightBytes
	c.require(fits, section, i, "model", string(target.Model), "a model whose weight_bytes are at most those of the target's kind")
	bounded := model.MaxTokens <= kind.MaxContextTokens
	c.require(bounded, section, i, "model", string(target.Model), "a model whose max_tokens are at most max_context_tokens of the target's kind")
}
