package plan

// Kind is the kind of an Intent.
type Kind string

const (
	// TakeOut takes a data centre out of service: it receives no new work.
	TakeOut Kind = "take-out"
	// Return brings a data centre back into service.
	Return Kind = "return"
	// Drain takes targets out of service: they receive no new work and their streams end normally.
	Drain Kind = "drain"
	// Undrain brings targets back into service.
	Undrain Kind = "undrain"
	// BringIn makes all targets of a model serve the given version.
	BringIn Kind = "bring-in"
	// ApplyDeclarations replaces the configuration by the given declarations.
	ApplyDeclarations Kind = "apply"
)
