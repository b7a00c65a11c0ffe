package configcheck

import (
	"fmt"
	"strconv"

	"siskintide.example/siskintide/internal/core"
)

const (
	maxGotBytes = 60 // bytes of a rejected value that a fault shows
	wholeList   = -1 // index of a fault of the list itself, not of an entry
)

// checker collects the faults of one configuration.
type checker struct {
	config    *core.Config
	catalog   *core.Catalog
	complete  bool
	faults    []Fault
	addresses map[string]bool
}

func newChecker(config *core.Config, complete bool) *checker {
	return &checker{
		config:    config,
		catalog:   core.NewCatalog(config),
		complete:  complete,
		addresses: map[string]bool{},
	}
}

func (c *checker) addFault(section string, index int, field, got, accepted string) {
	if len(got) > maxGotBytes {
		got = got[:maxGotBytes] + "..."
	}
	c.faults = append(c.faults, Fault{Section: section, Index: index, Field: field, Got: got, Accepted: accepted})
}

// require reports a string value unless ok is true.
func (c *checker) require(ok bool, section string, index int, field, got, accepted string) {
	if !ok {
		c.addFault(section, index, field, strconv.Quote(got), accepted)
	}
}

// requireAtLeast reports a number below its smallest accepted value.
func (c *checker) requireAtLeast(section string, index int, field string, got, smallest int64) {
	if got < smallest {
		c.addFault(section, index, field, strconv.FormatInt(got, 10), fmt.Sprintf("a whole number of at least %d", smallest))
	}
}

// checkIdentifier reports a malformed or duplicate identifier.
func (c *checker) checkIdentifier(seen map[string]bool, section string, index int, id string) {
	c.require(ValidIdentifier(id), section, index, "id", id, IdentifierForm)
	c.require(!seen[id], section, index, "id", id, "an identifier that no earlier entry of the list has")
	seen[id] = true
}

// checkState reports an administrative state that is not accepted.
func (c *checker) checkState(section string, index int, state core.AdminState) {
	known := state == core.StateIn || state == core.StateOut
	absent := state == "" && !c.complete
	c.require(known || absent, section, index, "state", string(state), `"in" or "out"`)
}

// checkVersion reports a malformed version.
func (c *checker) checkVersion(section string, index int, version core.ModelVersion) {
	absent := version == "" && !c.complete
	c.require(absent || ValidIdentifier(string(version)), section, index, "version", string(version), "a version: "+IdentifierForm)
}
