package configreview

// Section is a part of the configuration.
type Section string

// Sections in the order in which a review lists them.
const (
	SectionDocument Section = "document"
	SectionRoute    Section = "route"
	SectionService  Section = "service"
	SectionTenant   Section = "tenant"
	SectionLimits   Section = "limits"
)
