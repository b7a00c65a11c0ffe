package engineserver

// phase is the scheduling state of a stream.
type phase uint8

const (
	waiting phase = iota
	running
	ended
)
