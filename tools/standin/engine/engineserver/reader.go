package engineserver

// reader holds what a request handler needs to send a stream's frames.
type reader struct {
	stream           *stream // outside the event loop, only the immutable id and source are read
	subscriber       *subscriber
	incarnation      string
	incarnationEnded <-chan struct{} // closed when the engine's incarnation ends
}
