package callerapi

import (
	"net/http"
	"time"
)

const (
	// readHeaderTimeout limits the time to receive the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout limits the time between requests on a connection.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes limits the memory for the headers of one request.
	maxHeaderBytes = 16 << 10
)

// NewServer returns an HTTP server for the handler that limits the size of headers and the
// time to receive them. The handler itself limits the size and time of bodies.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
