package service

import "io"

// emptyBody is a request body without content that net/http does not recognise as empty
// beforehand. A request that has it counts as not replayable.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
