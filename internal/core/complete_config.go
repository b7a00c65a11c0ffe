package core

// CompleteConfig returns a copy of declared with omitted states and versions filled in. An
// omitted state, or version of a model, is taken from the entry with the same id in current;
// a new entry gets StateIn. An omitted version of a target is that of its model.
func CompleteConfig(declared, current *Config) *Config {
	previous := NewCatalog(current)
	completed := *declared
	completed.DataCentres = append([]DataCentre(nil), declared.DataCentres...)
	completed.Models = append([]Model(nil), declared.Models...)
	completed.Targets = append([]Target(nil), declared.Targets...)
	for i := range completed.DataCentres {
		completeDataCentre(&completed.DataCentres[i], previous)
	}
	for i := range completed.Models {
		completeModel(&completed.Models[i], previous)
	}
	models := NewCatalog(&completed)
	for i := range completed.Targets {
		completeTarget(&completed.Targets[i], previous, models)
	}
	return &completed
}

func completeDataCentre(centre *DataCentre, previous *Catalog) {
	if centre.State != "" {
		return
	}
	centre.State = StateIn
	if before := previous.DataCentre(centre.ID); before != nil {
		centre.State = before.State
	}
}

func completeModel(model *Model, previous *Catalog) {
	if before := previous.Model(model.ID); before != nil && model.Version == "" {
		model.Version = before.Version
	}
}

func completeTarget(target *Target, previous, models *Catalog) {
	if target.State == "" {
		target.State = StateIn
		if before := previous.Target(target.ID); before != nil {
			target.State = before.State
		}
	}
	model := models.Model(target.Model)
	if model != nil && target.Version == "" {
		target.Version = model.Version
	}
}
