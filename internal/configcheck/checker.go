package configcheck

import (
	"fmt"
	"strconv"

	"siskintide.example/siskintide/internal/core"
)

const (
	shownLength = 60 // characters of a found value that a message shows
	wholeList   = -1 // index of a fault that concerns the whole list
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

func (c *checker) fault(section string, index int, field, got, accepted string) {
	if len(got) > shownLength {
		got = got[:shownLength] + "..."
	}
	c.faults = append(c.faults, Fault{Section: section, Index: index, Field: field, Got: got, Accepted: accepted})
}

// text reports a string value that is not accepted.
func (c *checker) text(ok bool, section string, index int, field, got, accepted string) {
	if !ok {
		c.fault(section, index, field, strconv.Quote(got), accepted)
	}
}

// atLeast reports a number below its smallest accepted value.
func (c *checker) atLeast(section string, index int, field string, got, smallest int64) {
	if got < smallest {
		c.fault(section, index, field, strconv.FormatInt(got, 10), fmt.Sprintf("a whole number of at least %d", smallest))
	}
}

// identifier reports a malformed or repeated identifier.
func (c *checker) identifier(seen map[string]bool, section string, index int, id string) {
	c.text(ValidIdentifier(id), section, index, "id", id, IdentifierForm)
	c.text(!seen[id], section, index, "id", id, "an identifier that no earlier entry of the list has")
	seen[id] = true
}

// state reports an administrative state that is not accepted.
func (c *checker) state(section string, index int, state core.AdminState) {
	known := state == core.StateIn || state == core.StateOut
	absent := state == "" && !c.complete
	c.text(known || absent, section, index, "state", string(state), `"in" or "out"`)
}

// version reports a malformed version.
func (c *checker) version(section string, index int, version core.ModelVersion) {
	absent := version == "" && !c.complete
	c.text(absent || ValidIdentifier(string(version)), section, index, "version", string(version), "a version: "+IdentifierForm)
}
