package main

// report holds the results of all sweeps.
type report struct {
	Window string  `json:"window"`
	Points []point `json:"points"`
	Slopes []slope `json:"slopes"`
}
