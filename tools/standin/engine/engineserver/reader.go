package engineserver

// reader is what a call needs to send a stream's frames.
type reader struct {
	stream      *stream // only id and source, which never change, are read outside the owner
	subscriber  *subscriber
	incarnation string
	lost        <-chan struct{} // closed when the process is lost
}
