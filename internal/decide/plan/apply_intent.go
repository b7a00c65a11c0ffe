package plan

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// applyIntent returns a copy of the current configuration with the intent applied, or a
// *Refusal. Revision and plan history stay unchanged.
func applyIntent(current *core.Config, intent Intent) (*core.Config, error) {
	next := clone(current)
	switch intent.Kind {
	case TakeOut:
		return next, setDataCentre(next, intent.DataCentre, core.StateOut)
	case Return:
		return next, setDataCentre(next, intent.DataCentre, core.StateIn)
	case Drain:
		return next, setTargets(next, intent.Targets, core.StateOut)
	case Undrain:
		return next, setTargets(next, intent.Targets, core.StateIn)
	case BringIn:
		return next, setVersion(next, intent)
	case ApplyDeclarations:
		return mergeDeclarations(current, intent)
	}
	return nil, refuse(MalformedIntent, "unknown kind of intent %q", intent.Kind)
}

func clone(config *core.Config) *core.Config {
	next := *config
	next.Plans = append([]core.PlanID(nil), config.Plans...)
	next.DataCentres = append([]core.DataCentre(nil), config.DataCentres...)
	next.Models = append([]core.Model(nil), config.Models...)
	next.Targets = append([]core.Target(nil), config.Targets...)
	return &next
}

func setDataCentre(next *core.Config, id core.DataCentreID, state core.AdminState) error {
	for i := range next.DataCentres {
		if next.DataCentres[i].ID == id {
			next.DataCentres[i].State = state
			return nil
		}
	}
	return refuse(UnknownObject, "no data centre %q is declared", id)
}

func setTargets(next *core.Config, ids []core.TargetID, state core.AdminState) error {
	if len(ids) == 0 {
		return refuse(MalformedIntent, "no target is named")
	}
	positions := map[core.TargetID]int{}
	for i, target := range next.Targets {
		positions[target.ID] = i
	}
	for _, id := range ids {
		i, known := positions[id]
		if !known {
			return refuse(UnknownObject, "no target %q is declared", id)
		}
		next.Targets[i].State = state
	}
	return nil
}

func setVersion(next *core.Config, intent Intent) error {
	if intent.Version == "" || intent.WeightBytes < 0 {
		return refuse(MalformedIntent, "a version, and a size that is not negative, are needed")
	}
	found := false
	for i := range next.Models {
		model := &next.Models[i]
		if model.ID != intent.Model {
			continue
		}
		found = true
		model.Version = intent.Version
		if intent.WeightBytes > 0 {
			model.WeightBytes = intent.WeightBytes
		}
	}
	if !found {
		return refuse(UnknownObject, "no model %q is declared", intent.Model)
	}
	for i := range next.Targets {
		if next.Targets[i].Model == intent.Model {
			next.Targets[i].Version = intent.Version
		}
	}
	return nil
}

// mergeDeclarations returns the declarations, completed from the current configuration.
func mergeDeclarations(current *core.Config, intent Intent) (*core.Config, error) {
	if intent.Declarations == nil {
		return nil, refuse(MalformedIntent, "no declarations are given")
	}
	next := core.CompleteConfig(intent.Declarations, current)
	next.Revision = current.Revision
	next.Plans = append([]core.PlanID(nil), current.Plans...)
	for _, model := range next.Models {
		if model.Version == "" {
			return nil, refuse(InvalidResult, "model %q is new and declares no version", model.ID)
		}
	}
	return next, nil
}

// describe returns the intent in the form of a command line, for messages.
func (i Intent) describe() string {
	switch i.Kind {
	case TakeOut, Return:
		return fmt.Sprintf("%s %s", i.Kind, i.DataCentre)
	case Drain, Undrain:
		return fmt.Sprintf("%s %v", i.Kind, i.Targets)
	case BringIn:
		return fmt.Sprintf("%s %s %s", i.Kind, i.Model, i.Version)
	}
	return string(i.Kind)
}
