package responsehead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"siskintide.example/siskintide/internal/duplex"
)

// Transport sends requests as an http.Transport does, and fails those whose response has a malformed head. The error
// wraps a *MalformedError. Reading the body of a response fails if the connection broke while the request was still sent,
// also if the response ends with its connection. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends requests over base, and changes how base connects. base must not use
// TLS or a proxy.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connected, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked := duplex.New(connected)
		return conn{Conn: checked, reader: NewReader(checked)}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: expectResponse}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// expectResponse is called when a request has got its connection, which is new or idle.
func expectResponse(info httptrace.GotConnInfo) {
	if checked, ok := info.Conn.(conn); ok {
		checked.reader.ExpectResponse()
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
