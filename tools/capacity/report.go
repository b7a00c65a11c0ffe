package main

// report is the result of a run.
type report struct {
	Window string  `json:"window"`
	Points []point `json:"points"`
	Slopes []slope `json:"slopes"`
}
