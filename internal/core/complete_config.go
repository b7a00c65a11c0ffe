package core

// CompleteConfig returns a copy of declared in which states and versions that were left
// out are filled in. A state, and the version of a model, come from the entry of the same
// id in current; the state of a new entry is "in". A target's version is its model's.
func CompleteConfig(declared, current *Config) *Config {
	known := NewCatalog(current)
	done := *declared
	done.DataCentres = append([]DataCentre(nil), declared.DataCentres...)
	done.Models = append([]Model(nil), declared.Models...)
	done.Targets = append([]Target(nil), declared.Targets...)
	for i := range done.DataCentres {
		completeDataCentre(&done.DataCentres[i], known)
	}
	for i := range done.Models {
		completeModel(&done.Models[i], known)
	}
	models := NewCatalog(&done)
	for i := range done.Targets {
		completeTarget(&done.Targets[i], known, models)
	}
	return &done
}

func completeDataCentre(centre *DataCentre, known *Catalog) {
	if centre.State != "" {
		return
	}
	centre.State = StateIn
	if before := known.DataCentre(centre.ID); before != nil {
		centre.State = before.State
	}
}

func completeModel(model *Model, known *Catalog) {
	if before := known.Model(model.ID); before != nil && model.Version == "" {
		model.Version = before.Version
	}
}

func completeTarget(target *Target, known, models *Catalog) {
	if target.State == "" {
		target.State = StateIn
		if before := known.Target(target.ID); before != nil {
			target.State = before.State
		}
	}
	model := models.Model(target.Model)
	if model != nil && target.Version == "" {
		target.Version = model.Version
	}
}
