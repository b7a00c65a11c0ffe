package configreview

// Review is what was found in a configuration.
type Review struct {
	Findings    []Finding
	Differences []Difference
}
