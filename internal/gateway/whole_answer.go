package gateway

import (
	"io"
	"net/http"
)

// maxWholeBytes bounds an answer that is read in full before the caller gets it, and so
// the memory for it. Answers of plain services have a few kilobytes.
const maxWholeBytes = 8 << 20

// wholeAnswer is a target's answer that has arrived in full.
type wholeAnswer struct {
	ResponseInfo
	status int
	header http.Header
	body   []byte
}

// failed reports whether the target says that it failed to do the work.
func (a *wholeAnswer) failed() bool { return a.status >= http.StatusInternalServerError }

// readWhole reads the rest of an exchange's answer. It returns a BrokenError if the answer
// is cut off, and a TooLargeError if it exceeds its bound.
func (x *exchange) readWhole(meta ResponseInfo) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxWholeBytes+1))
	if err != nil {
		return nil, &BrokenError{Address: x.address, Doing: "answer", Cause: err}
	}
	if len(body) > maxWholeBytes {
		return nil, &TooLargeError{Part: "answer", Limit: maxWholeBytes}
	}
	return &wholeAnswer{ResponseInfo: meta, status: x.response.StatusCode, header: passedOn(x.response.Header), body: body}, nil
}
