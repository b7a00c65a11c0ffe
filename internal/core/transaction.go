package core

// Transaction commits all of its writes if all of its conditions hold, and nothing otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}
