package loadgen

// token is one token as a caller receives it.
type token struct {
	text   string
	reason string // finish reason; empty except in the last token
}
