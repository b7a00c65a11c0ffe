package core

// Progress gives the number of output tokens that a running generation has produced so far.
type Progress struct {
	Generation GenerationID `cbor:"1,keyasint,omitempty"`
	Output     Tokens       `cbor:"2,keyasint,omitempty"`
	// FirstTokenMS is the time to the first token, given once; zero otherwise.
	FirstTokenMS int64 `cbor:"3,keyasint,omitempty"`
}
