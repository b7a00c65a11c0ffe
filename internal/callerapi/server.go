package callerapi

import (
	"net/http"
	"time"
)

const (
	// readHeaderTimeout ends connections that send their headers too slowly.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes connections without a request.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the memory for one request's headers.
	maxHeaderBytes = 16 << 10
)

// NewServer returns an HTTP server for the handler that is bounded against slow and
// oversized headers. Bodies are bounded by the handler, in size and in time.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
