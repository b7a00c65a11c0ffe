package plan

import (
	"fmt"
	"reflect"
	"strings"

	"siskintide.example/siskintide/internal/core"
)

const hiddenField = "key_sha256" // digests of keys are not shown

// steps returns the differences between two configurations, entry by entry.
func steps(before, after *core.Config) []Step {
	all := compareEntries("data centre", before.DataCentres, after.DataCentres, func(d core.DataCentre) string { return string(d.ID) })
	all = append(all, compareEntries("target kind", before.Kinds, after.Kinds, func(k core.TargetKind) string { return string(k.ID) })...)
	all = append(all, compareEntries("model", before.Models, after.Models, func(m core.Model) string { return string(m.ID) })...)
	all = append(all, compareEntries("service", before.Services, after.Services, func(s core.Service) string { return string(s.ID) })...)
	all = append(all, compareEntries("class", before.Classes, after.Classes, func(c core.ClassSpec) string { return string(c.ID) })...)
	all = append(all, compareEntries("team", before.Teams, after.Teams, func(t core.Team) string { return string(t.ID) })...)
	return append(all, compareEntries("target", before.Targets, after.Targets, func(t core.Target) string { return string(t.ID) })...)
}

func compareEntries[T any](object string, before, after []T, id func(T) string) []Step {
	old := map[string]T{}
	for _, entry := range before {
		old[id(entry)] = entry
	}
	kept := map[string]bool{}
	all := []Step{}
	for _, entry := range after {
		previous, known := old[id(entry)]
		kept[id(entry)] = true
		if !known {
			all = append(all, Step{Action: Add, Object: object, ID: id(entry)})
			continue
		}
		all = append(all, compareFields(object, id(entry), reflect.ValueOf(previous), reflect.ValueOf(entry))...)
	}
	for _, entry := range before {
		if !kept[id(entry)] {
			all = append(all, Step{Action: Remove, Object: object, ID: id(entry)})
		}
	}
	return all
}

func compareFields(object, id string, before, after reflect.Value) []Step {
	changes := []Step{}
	for i := range before.NumField() {
		from := fmt.Sprint(before.Field(i).Interface())
		to := fmt.Sprint(after.Field(i).Interface())
		if from == to {
			continue
		}
		field, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
		if field == hiddenField {
			from, to = "", ""
		}
		changes = append(changes, Step{Action: Change, Object: object, ID: id, Field: field, From: from, To: to})
	}
	return changes
}

// Difference returns the differences between two configurations.
func Difference(before, after *core.Config) []Step { return steps(before, after) }
