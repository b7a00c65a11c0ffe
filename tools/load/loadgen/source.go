package loadgen

// source gives the tokens of one answer. next returns io.EOF after a whole answer and a
// *refusedError or *brokenError otherwise.
type source interface {
	next() (token, error)
	close()
}
