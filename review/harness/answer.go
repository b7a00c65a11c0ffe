package main

import (
	"fmt"
	"net/http"
)

// answer is what a client got: a complete response if err is nil.
type answer struct {
	status int // zero if no response head arrived
	header http.Header
	body   string
	err    error
}

// complete reports whether a whole response arrived.
func (a answer) complete() bool { return a.err == nil && a.status > 0 }

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no response (%v)", a.err)
	case a.err != nil:
		return fmt.Sprintf("%d, broken off after %d bytes (%v)", a.status, len(a.body), a.err)
	default:
		return fmt.Sprintf("%d, complete, %d bytes, signature %q", a.status, len(a.body), a.header.Get("Response-Signature"))
	}
}
