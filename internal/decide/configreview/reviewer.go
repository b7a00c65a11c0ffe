package configreview

// reviewer collects the findings of one configuration.
type reviewer struct {
	document *Document
	bounds   Bounds
	shadows  map[int]int // by the index of a route, the index of the route that takes its requests
	findings []Finding
}

func (r *reviewer) add(finding Finding) { r.findings = append(r.findings, finding) }

// checkName adds findings for an empty name and for one that an earlier entry has.
func (r *reviewer) checkName(seen map[string]bool, section Section, index int, name string) {
	if name == "" {
		r.add(Finding{Code: NoName, Section: section, Index: index, Field: FieldName})
	} else if seen[name] {
		r.add(Finding{Code: NameTaken, Section: section, Name: name, Index: index, Field: FieldName})
	}
	seen[name] = true
}

// checkNegative adds a finding for each of the attributes that is negative.
func (r *reviewer) checkNegative(section Section, name string, index int, attributes []attribute) {
	for _, a := range attributes {
		if a.negative {
			r.add(Finding{Code: Negative, Section: section, Name: name, Index: index, Field: a.field, Value: a.value})
		}
	}
}
