package relay

// Sink is the caller's side of a stream. It is used by one goroutine. A failure means
// that the caller has left.
type Sink interface {
	// Token hands on one token.
	Token(token Token) error
	// KeepAlive shows the caller that the stream still lives.
	KeepAlive() error
	// End hands on how the stream ended; nothing follows.
	End(ending StreamResult)
}
