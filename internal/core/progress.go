package core

// Progress gives the number of output tokens that a running generation has produced so far.
type Progress struct {
	Generation GenerationID
	Output     Tokens
	// FirstTokenMS is the time to the first token, given once; zero otherwise.
	FirstTokenMS int64
}
