package main

// slope is the least-squares line of one quantity over the dimension of one sweep: quantity =
// Base + PerUnit * dimension.
type slope struct {
	Sweep    string  `json:"sweep"`
	Quantity string  `json:"measure"`
	Base     float64 `json:"base"`
	PerUnit  float64 `json:"per_unit"`
}
