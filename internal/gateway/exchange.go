package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// connectTimeout bounds the wait for a target to take a connection. A round trip takes
	// a few milliseconds; a lost opening packet is sent again only after a second, which is
	// later than another target's answer.
	connectTimeout = 150 * time.Millisecond
	// readBuffer is the size of the buffer for a target's answer, in bytes.
	readBuffer = 4 << 10
	// inlineBody is the size up to which a body fits the socket's buffers, so that writing
	// it does not wait for the target.
	inlineBody = 16 << 10
)

// exchange is one request to a target on a connection of its own, and its answer. A
// connection carries one request: a kept one may have gone silent, may be closed by the
// target as the request is sent, and may hold bytes that belong to an earlier request.
type exchange struct {
	address  string
	conn     net.Conn
	response *http.Response
	buffered *bufio.Reader
	release  func() bool // stops the context from closing the connection
}

// open connects to the target and sends the request. The end of the context closes the
// connection, also after open has returned. It returns an UnsentError if no byte can have
// reached the target, and a BrokenError if the answer's header did not arrive.
func open(ctx context.Context, address string, request *http.Request) (*exchange, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &UnsentError{Address: address, Cause: err}
	}
	x := &exchange{address: address, conn: conn, buffered: bufio.NewReaderSize(conn, readBuffer)}
	x.release = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := x.roundTrip(request); err != nil {
		x.close()
		if ctx.Err() != nil {
			err = ctx.Err() // the end of the context closed the connection
		}
		return nil, &BrokenError{Address: address, Doing: "request", Cause: err}
	}
	return x, nil
}

// roundTrip writes the request and reads the answer's header. A target may answer before
// it has read the whole body, so a failed write does not end the exchange.
func (x *exchange) roundTrip(request *http.Request) error {
	written := make(chan error, 1)
	if request.ContentLength <= inlineBody {
		written <- request.Write(x.conn)
	} else {
		go func() { written <- request.Write(x.conn) }()
	}
	response, err := http.ReadResponse(x.buffered, request)
	if err == nil {
		x.response = response
		return nil
	}
	select {
	case writeErr := <-written:
		if writeErr != nil {
			return writeErr
		}
	default:
	}
	return err
}

// close ends the exchange; a target drops the work of a closed connection.
func (x *exchange) close() {
	x.release()
	_ = x.conn.Close()
}
