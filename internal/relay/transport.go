package relay

import (
	"net"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/responsehead"
)

const (
	// dialTimeout bounds the connection to an engine that may be dead.
	dialTimeout = 2 * time.Second
	// headerTimeout bounds the wait for an engine to accept or refuse a request.
	headerTimeout = 30 * time.Second
	// idleConnections bounds the connections to one engine that are kept for reuse.
	idleConnections = 64
	// idleConnTimeout bounds the time that an idle connection is kept.
	idleConnTimeout = 30 * time.Second
	// bufferBytes is the size of a connection's read buffer and of its write buffer. Each
	// stream has both.
	bufferBytes = 1 << 10
)

// NewTransport returns the transport for streams from engines. It bounds connecting and
// the wait for a response's header, but not the duration of a stream.
func NewTransport() *responsehead.Transport {
	return responsehead.NewTransport(&http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ResponseHeaderTimeout: headerTimeout,
		MaxIdleConnsPerHost:   idleConnections,
		IdleConnTimeout:       idleConnTimeout,
		ReadBufferSize:        bufferBytes,
		WriteBufferSize:       bufferBytes,
		DisableCompression:    true,
	})
}
