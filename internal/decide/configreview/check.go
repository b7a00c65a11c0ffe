package configreview

import "strconv"

// Check reviews a configuration. inForce is the configuration in force, or nil if there is none to compare with.
func Check(document, inForce *Document, bounds Bounds) Review {
	r := &reviewer{document: document, bounds: bounds, shadows: shadows(document.Routes)}
	r.checkVersion(inForce)
	r.checkRoutes()
	r.checkServices()
	r.checkTenants()
	r.checkLimits()
	review := Review{Findings: r.findings}
	if inForce != nil {
		review.Differences = compare(inForce, document)
	}
	return review
}

func (r *reviewer) checkVersion(inForce *Document) {
	version := r.document.Version
	if version == 0 {
		r.add(Finding{Code: NoVersion, Section: SectionDocument, Field: FieldVersion})
	} else if inForce != nil && version <= inForce.Version {
		r.add(Finding{Code: VersionNotHigher, Section: SectionDocument, Field: FieldVersion,
			Value: strconv.FormatUint(version, 10), Other: strconv.FormatUint(inForce.Version, 10)})
	}
}
