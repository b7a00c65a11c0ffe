package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/duplex"
	"siskintide.example/siskintide/internal/responsehead"
)

const (
	// connectTimeout bounds the connection to a target. A round trip takes a few
	// milliseconds. A lost SYN packet is sent again only after a second; by then another
	// target would have responded.
	connectTimeout = 150 * time.Millisecond
	// readBufferBytes is the size of the buffer for a target's response.
	readBufferBytes = 4 << 10
	// inlineBodyBytes is the size up to which a body fits into the socket's buffers, so that
	// writing it does not block.
	inlineBodyBytes = 16 << 10
)

// exchange is one request to a target and its response, on a connection of its own.
// Connections are not reused: a kept connection may be dead without notice, may be closed
// by the target while the request is sent, and may hold bytes of an earlier response.
type exchange struct {
	address  string
	conn     net.Conn
	response *http.Response
	reader   *bufio.Reader
	head     *headLimiter
	detach   func() bool // keeps the end of the context from closing the connection
}

// open connects to the target, sends the request and reads the header of the response. The
// end of the context closes the connection, also after open has returned. It returns an
// *UnsentError if no byte can have reached the target, and an *ExchangeError if the header
// did not arrive. The memory is that of the host for its callers; nil for no limit.
func open(ctx context.Context, address string, request *http.Request, memory *callerlimit.Limiter) (*exchange, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &UnsentError{Address: address, Cause: err}
	}
	conn := duplex.New(dialed)
	head := newHeadLimiter(responsehead.NewReader(conn), memory)
	x := &exchange{address: address, conn: conn, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}
	x.detach = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := x.roundTrip(request); err != nil {
		x.close()
		if ctx.Err() != nil {
			err = ctx.Err() // the end of the context closed the connection
		}
		return nil, &ExchangeError{Address: address, Phase: phaseRequest, Cause: err}
	}
	return x, nil
}

// roundTrip writes the request and reads the response's header. A target may respond before it has read the complete
// body, so the error of a write alone does not fail the exchange, and is dropped. If the connection failed, reading the
// response does.
func (x *exchange) roundTrip(request *http.Request) error {
	write := func() { _ = request.Write(targetWriter(x.conn, request)) }
	if request.ContentLength <= inlineBodyBytes {
		write()
	} else {
		go write()
	}
	response, err := x.readFinalHead(request)
	if err != nil {
		return err
	}
	x.response, x.head.complete = response, true
	return nil
}

// readFinalHead reads the head of the response and skips informational responses before it.
func (x *exchange) readFinalHead(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// endsWithConnection reports whether the response has no length, so that it is complete only if
// the target closed the connection after the last byte.
func (x *exchange) endsWithConnection() bool {
	return x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
}

// refusesConnections reports whether the target at an address no longer listens. Nothing is sent to it. A target
// that does not respond at all may be cut off from this host.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// close closes the connection. Most targets then cancel the request.
func (x *exchange) close() {
	x.detach()
	_ = x.conn.Close()
	x.head.release()
}
