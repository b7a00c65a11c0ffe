package service

import (
	"net"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/responsehead"
)

const (
	// dialTimeout bounds the time to connect to a service, so that a dead one is detected early.
	dialTimeout = time.Second
	// maxIdlePerService is enough for the calls that a host usually has open at one service.
	maxIdlePerService = 64
	// idleConnectionTimeout is the time after which an idle connection is closed.
	idleConnectionTimeout = 60 * time.Second
)

// NewTransport returns the transport for calls to plain services. It has no overall timeout; the context of a call
// bounds it.
func NewTransport() *responsehead.Transport {
	return responsehead.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerService,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	})
}
