package settings

import (
	"fmt"
	"os"

	"siskintide.example/siskintide/internal/configcheck"
	"siskintide.example/siskintide/internal/core"
)

// declarations merges the lists of several files and records the origin of each entry.
type declarations struct {
	config    core.Config
	documents []*document
	origins   map[string]origin    // by key in the merged lists, such as targets[12]
	sections  map[string]*document // last file that has the list, by the key of the list
}

// LoadDeclarations reads declarations from files, which may each hold any of the lists,
// and checks them as a whole. States and versions that are left out stay empty; a plan
// keeps their accepted values. The error is a *ReadError or an *InvalidError.
func LoadDeclarations(paths ...string) (*core.Config, error) {
	set := newDeclarations()
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &ReadError{Path: path, Err: err}
		}
		set.add(path, data)
	}
	return set.check(false)
}

// ParseDeclarations checks one file of declarations like LoadDeclarations.
func ParseDeclarations(name string, data []byte) (*core.Config, error) {
	set := newDeclarations()
	set.add(name, data)
	return set.check(false)
}

// ParseConfig checks one file of declarations and completes it: a state that is left out
// becomes "in", and a target's version becomes that of its model. Models must name their
// version. The error is an *InvalidError.
func ParseConfig(name string, data []byte) (*core.Config, error) {
	set := newDeclarations()
	set.add(name, data)
	if _, err := set.check(false); err != nil {
		return nil, err
	}
	set.config = *core.CompleteConfig(&set.config, &core.Config{})
	return set.check(true)
}

func newDeclarations() *declarations {
	return &declarations{origins: map[string]origin{}, sections: map[string]*document{}}
}

// add decodes one file and appends its lists.
func (s *declarations) add(name string, data []byte) {
	part := core.Config{}
	d := decode(name, data, &part)
	s.documents = append(s.documents, d)
	d.require(part.Revision == 0, "revision", fmt.Sprint(part.Revision), "no such key in declarations; the system numbers revisions")
	d.require(len(part.Plans) == 0, "plans", fmt.Sprint(part.Plans), "no such key in declarations")
	c := &s.config
	c.DataCentres = appendEntries(s, d, "data_centres", c.DataCentres, part.DataCentres)
	c.Kinds = appendEntries(s, d, "target_kinds", c.Kinds, part.Kinds)
	c.Models = appendEntries(s, d, "models", c.Models, part.Models)
	c.Services = appendEntries(s, d, "services", c.Services, part.Services)
	c.Classes = appendEntries(s, d, "classes", c.Classes, part.Classes)
	c.Teams = appendEntries(s, d, "teams", c.Teams, part.Teams)
	c.Targets = appendEntries(s, d, "targets", c.Targets, part.Targets)
}

func appendEntries[T any](s *declarations, d *document, section string, to, from []T) []T {
	if d.lines[section] > 0 {
		s.sections[section] = d
	}
	for i := range from {
		merged := fmt.Sprintf("%s[%d]", section, len(to)+i)
		s.origins[merged] = origin{document: d, key: fmt.Sprintf("%s[%d]", section, i)}
	}
	return append(to, from...)
}

// check returns the configuration, or the problems of all files.
func (s *declarations) check(complete bool) (*core.Config, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	err := configcheck.Check(&s.config, complete)
	if faults, ok := err.(*configcheck.FaultsError); ok {
		s.addFaults(faults.Faults)
		return nil, s.err()
	}
	return &s.config, err
}

func (s *declarations) addFaults(faults []configcheck.Fault) {
	for _, fault := range faults {
		entry := fmt.Sprintf("%s[%d]", fault.Section, fault.Index)
		if from, ok := s.origins[entry]; ok {
			from.document.addProblemAt(joinField(from.key, fault.Field), fault.Got, fault.Accepted)
			continue
		}
		d := s.sections[fault.Section]
		if d == nil {
			d = s.documents[0]
		}
		d.addProblemAt(fault.Key(), fault.Got, fault.Accepted)
	}
}

func joinField(key, field string) string {
	if field == "" {
		return key
	}
	return key + "." + field
}

func (s *declarations) err() error {
	problems := []Problem{}
	for _, d := range s.documents {
		problems = append(problems, d.problems...)
	}
	if len(s.documents) == 0 {
		problems = append(problems, Problem{File: "declarations", Got: "no file", Accepted: "at least one file"})
	}
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
