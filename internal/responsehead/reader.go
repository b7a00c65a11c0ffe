package responsehead

import (
	"io"

	"siskintide.example/siskintide/internal/decide/responsescan"
)

// Reader reads one response, and the informational responses before it, from a connection. It returns a
// *MalformedError in place of the bytes that make a head malformed, and from then on.
type Reader struct {
	source  io.Reader
	scanner responsescan.Scanner
	failure error
}

// NewReader returns a reader of the response that the source is about to return.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.failure != nil {
		return 0, r.failure
	}
	n, err := r.source.Read(p)
	if reason := r.scanner.Scan(p[:n]); reason != "" {
		r.failure = &MalformedError{Reason: reason}
		return 0, r.failure
	}
	return n, err
}
