package main

// slope is the least-squares line of one measure over one dimension: measure = Base +
// PerUnit * dimension.
type slope struct {
	Sweep   string  `json:"sweep"`
	Measure string  `json:"measure"`
	Base    float64 `json:"base"`
	PerUnit float64 `json:"per_unit"`
}
