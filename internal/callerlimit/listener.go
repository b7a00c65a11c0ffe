package callerlimit

import (
	"context"
	"net"
	"net/http"
)

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Listen returns a listener whose connections are limited. Configure must be called for the server.
func (l *Limiter) Listen(source net.Listener) net.Listener {
	return &listener{Listener: source, limiter: l}
}

// Accept implements net.Listener. Connections for which there is no room are refused and closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(accepted, l.limiter)
		reason := l.limiter.admit(c)
		if reason == "" {
			return c, nil
		}
		c.reject(string(reason))
	}
}

// Configure sets what the limiter needs of a server that serves its connections.
func (l *Limiter) Configure(server *http.Server) {
	server.ConnState, server.ConnContext = l.connState, l.connContext
	server.ReadHeaderTimeout, server.IdleTimeout = headerTimeoutMarker, idleTimeoutMarker
}

// connState is the hook of the server: it returns the memory of a request's head once it has been answered, or
// has left HTTP.
func (l *Limiter) connState(served net.Conn, state http.ConnState) {
	c, ok := served.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.endRequest()
	case http.StateHijacked:
		c.upgrade()
	}
}

// connKey is the key of the connection in the context of a request.
var connKey = new(int)

// connContext is the hook of the server that lets Address and MarkAdmitted find the connection.
func (l *Limiter) connContext(ctx context.Context, served net.Conn) context.Context {
	if c, ok := served.(*conn); ok {
		return context.WithValue(ctx, connKey, c)
	}
	return ctx
}

// Address returns the address, without port, of the caller of a request; empty if it is not known.
func Address(ctx context.Context) string {
	if c, ok := ctx.Value(connKey).(*conn); ok {
		return c.address
	}
	return ""
}

// MarkAdmitted records that a request was admitted on the connection of a request. While it is idle, a connection without an
// admitted request may be closed in favour of a new one.
func MarkAdmitted(ctx context.Context) {
	if c, ok := ctx.Value(connKey).(*conn); ok {
		c.admitted.Store(true)
	}
}

// Detach records that the connection of a request, which has left HTTP, is part of the state of the host from now on: its memory is
// returned, and the connection counts until it is closed.
func Detach(ctx context.Context) {
	if c, ok := ctx.Value(connKey).(*conn); ok {
		c.detach()
	}
}
