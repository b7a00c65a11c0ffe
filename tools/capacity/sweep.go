package main

// sweep is a series of deployment sizes in which one dimension grows.
type sweep struct {
	name  string
	sizes []size
}

// sweeps lists all sweeps.
func sweeps() []sweep {
	return []sweep{
		{"hosts", []size{{3, 12, 10, 0}, {9, 12, 10, 0}, {16, 12, 10, 0}, {32, 12, 10, 0}, {64, 12, 10, 0}}},
		{"targets", []size{{9, 4, 10, 0}, {9, 24, 10, 0}, {9, 48, 10, 0}}},
		{"teams", []size{{9, 12, 100, 0}, {9, 12, 2300, 0}}},
		{"changes", []size{{9, 12, 10, 5}, {9, 12, 2300, 5}}},
	}
}
