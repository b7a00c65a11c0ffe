package responsehead

import (
	"io"
	"sync/atomic"

	"siskintide.example/siskintide/internal/decide/responsescan"
)

// Reader reads the responses on a connection, and the informational responses before each. It returns a
// *MalformedError in place of the bytes that make a head malformed, and from then on.
type Reader struct {
	source  io.Reader
	scanner responsescan.Scanner
	failure error
	next    atomic.Bool // the next byte begins a response
}

// NewReader returns a reader of a source whose next byte begins a response.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// ExpectResponse tells the reader that the next byte begins a response. It may be called while Read waits, and only
// when the response before has been read completely.
func (r *Reader) ExpectResponse() { r.next.Store(true) }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.failure != nil {
		return 0, r.failure
	}
	n, err := r.source.Read(p)
	if n > 0 && r.next.Swap(false) {
		r.scanner = responsescan.Scanner{}
	}
	if reason := r.scanner.Scan(p[:n]); reason != "" {
		r.failure = &MalformedError{Reason: reason}
		return 0, r.failure
	}
	return n, err
}
