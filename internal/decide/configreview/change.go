package configreview

// Change is what a configuration does to an entry.
type Change string

// Changes of an entry.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)
