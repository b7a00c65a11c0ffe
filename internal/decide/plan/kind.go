package plan

// Kind names what an operator wants.
type Kind string

const (
	// TakeOut takes a data centre out: it receives no new work.
	TakeOut Kind = "take-out"
	// Return brings a data centre back in.
	Return Kind = "return"
	// Drain takes targets out: they receive no new work and their streams end normally.
	Drain Kind = "drain"
	// Undrain brings targets back in.
	Undrain Kind = "undrain"
	// BringIn makes a version of a model the one that serves callers, on all of its targets.
	BringIn Kind = "bring-in"
	// ApplyDeclarations makes the configuration equal to declarations.
	ApplyDeclarations Kind = "apply"
)
