package configreview

// Finding is one thing that is wrong in a configuration.
type Finding struct {
	Code       Code
	Section    Section
	Name       string // name of the entry
	Index      int    // position of the entry in its section, from zero
	Field      Field
	Value      string // value of the field, or how many there are
	OtherField Field  // field that contradicts it
	Other      string // value of that field, or name of the other entry
}
