package relay

// Sink writes a stream to its caller. The relay calls it from one goroutine. An error means
// that the caller has disconnected.
type Sink interface {
	// Token writes one token.
	Token(token Token) error
	// KeepAlive writes a message that keeps the connection open.
	KeepAlive() error
	// End writes the result of the stream. It is the last call.
	End(result StreamResult)
}
