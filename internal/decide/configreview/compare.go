package configreview

import (
	"slices"
	"strconv"
)

// compare returns what a configuration changes in the one in force.
func compare(from, to *Document) []Difference {
	differences := []Difference{}
	if from.Version != to.Version {
		differences = append(differences, Difference{Change: Changed, Section: SectionDocument, Field: FieldVersion,
			From: strconv.FormatUint(from.Version, 10), To: strconv.FormatUint(to.Version, 10)})
	}
	if from.KeysUsed != to.KeysUsed {
		differences = append(differences, Difference{Change: Changed, Section: SectionDocument, Field: FieldTenants,
			From: strconv.FormatBool(from.KeysUsed), To: strconv.FormatBool(to.KeysUsed)})
	}
	return slices.Concat(differences,
		compareEntries(SectionRoute, from.Routes, to.Routes,
			func(r *Route) string { return r.Name }, compareRoutes),
		compareEntries(SectionService, from.Services, to.Services,
			func(s *Service) string { return s.Name }, compareServices),
		compareEntries(SectionTenant, from.Tenants, to.Tenants,
			func(t *Tenant) string { return t.Name }, compareTenants),
		compareAttributes(SectionLimits, "", from.Limits.attributes(), to.Limits.attributes()),
	)
}

// compareEntries pairs the entries of a section by name, and entries of the same name by their order.
func compareEntries[T any](section Section, from, to []T, name func(*T) string, values func(from, to *T) []Difference) []Difference {
	differences := []Difference{}
	old := map[string][]*T{}
	for i := range from {
		old[name(&from[i])] = append(old[name(&from[i])], &from[i])
	}
	for i := range to {
		entry := name(&to[i])
		if len(old[entry]) == 0 {
			differences = append(differences, Difference{Change: Added, Section: section, Name: entry})
			continue
		}
		differences = append(differences, values(old[entry][0], &to[i])...)
		old[entry] = old[entry][1:]
	}
	for i := range from {
		entry := name(&from[i])
		if slices.Contains(old[entry], &from[i]) {
			differences = append(differences, Difference{Change: Removed, Section: section, Name: entry})
		}
	}
	return differences
}

func compareRoutes(from, to *Route) []Difference {
	return compareAttributes(SectionRoute, to.Name, from.attributes(), to.attributes())
}

func compareServices(from, to *Service) []Difference {
	return compareAttributes(SectionService, to.Name, from.attributes(), to.attributes())
}

// compareTenants tells how many keys are added and removed, and not which.
func compareTenants(from, to *Tenant) []Difference {
	differences := compareAttributes(SectionTenant, to.Name, from.attributes(), to.attributes())
	added, removed := missingKeys(to, from), missingKeys(from, to)
	if added+removed > 0 {
		differences = append(differences, Difference{Change: Changed, Section: SectionTenant, Name: to.Name, Field: FieldKeys,
			From: strconv.Itoa(removed) + " removed", To: strconv.Itoa(added) + " added"})
	}
	return differences
}

// missingKeys returns how many keys of a tenant the other one lacks.
func missingKeys(of, in *Tenant) int {
	held, missing := keySet(in.Keys), 0
	for key := range keySet(of.Keys) {
		if !held[key] {
			missing++
		}
	}
	return missing
}

func compareAttributes(section Section, name string, from, to []attribute) []Difference {
	differences := []Difference{}
	for i := range to {
		if from[i].value != to[i].value {
			differences = append(differences, Difference{Change: Changed, Section: section, Name: name, Field: to[i].field,
				From: from[i].value, To: to[i].value})
		}
	}
	return differences
}
