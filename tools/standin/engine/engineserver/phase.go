package engineserver

// phase is what an engine does with a stream.
type phase uint8

const (
	waiting phase = iota
	running
	ended
)
