package callerlimit

import (
	"io"
	"net"
	"time"
)

const (
	// rejectTimeout bounds the write of a refusal; it fits into the buffer of the socket.
	rejectTimeout = 50 * time.Millisecond
	// lingerTime and lingerBytes bound what is still read, and dropped, after a refusal. A connection that is
	// closed while its caller sends is reset, and the caller may not get the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// refuse answers with a refusal, unless an earlier request is still being answered, and returns the error for the
// server, which closes the connection.
func (c *conn) refuse() error {
	reason := c.refusal
	if !c.counted {
		c.counted = true
		c.limiter.count(reason, c.address)
	}
	switch inWork := c.headsInWork(); {
	case inWork == 0:
		c.respond(reason)
		c.linger()
	case c.inBody && inWork == 1: // the request in work cannot be read to its end
	default:
		if err := c.awaitAnswer(); err != nil {
			return err
		}
	}
	// The server answers other errors than those of the network with a response of its own.
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: &LimitError{Reason: reason}}
}

// respond writes a refusal and ends the sending side.
func (c *conn) respond(reason string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	if _, err := io.WriteString(c.Conn, c.limiter.refusalText(reason)); err == nil {
		_ = c.CloseWrite()
	}
}

// awaitAnswer drops what the caller sends behind a request in work, whose body is complete. The server reads then only to
// notice that the caller has left: it takes any other error for that and gives the request up, and ends the read by a
// deadline once it has answered. A caller that sends more than lingerBytes loses the request in work.
func (c *conn) awaitAnswer() error {
	var dropped [512]byte
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(dropped[:])
		if err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// linger drops what the caller still sends, within bounds.
func (c *conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// reject refuses a connection that was not admitted, and closes it.
func (c *conn) reject(reason string) {
	c.limiter.count(reason, c.address)
	c.limiter.Relieve()
	c.respond(reason)
	_ = c.Conn.Close()
}
