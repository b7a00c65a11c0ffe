package service

import "io"

// emptyBody is an empty request body that net/http does not recognise as empty before it
// reads it. A request with this body cannot be replayed by net/http.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
