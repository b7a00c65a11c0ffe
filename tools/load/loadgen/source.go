package loadgen

// source reads the tokens of one response. next returns io.EOF at the end of a complete
// response, and else a *refusedError, a *brokenError or a *sequenceError.
type source interface {
	next() (token, error)
	close()
}
