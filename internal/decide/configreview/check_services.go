package configreview

func (r *reviewer) checkServices() {
	used := r.usedServices()
	names := map[string]bool{}
	for i := range r.document.Services {
		service := &r.document.Services[i]
		r.checkName(names, SectionService, i, service.Name)
		r.checkNegative(SectionService, service.Name, i, service.attributes())
		if !used[service.Name] {
			r.add(Finding{Code: ServiceUnused, Section: SectionService, Name: service.Name, Index: i})
		}
	}
}

// usedServices returns the services that get requests of some route.
func (r *reviewer) usedServices() map[string]bool {
	used := map[string]bool{}
	for i := range r.document.Routes {
		if !r.matches(i) {
			continue
		}
		for _, share := range r.document.Routes[i].shares() {
			if share.Weight > 0 {
				used[share.Service] = true
			}
		}
	}
	return used
}
