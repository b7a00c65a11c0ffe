package duplex

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reader learns how it ended, whatever its writer has met. The system reports the failure of a
// connection, for example a reset, to one call only. If that is a Write, a Read of the underlying connection returns io.EOF
// as after an orderly close.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a Write
	failure error      // of the connection, met by a Write; nil for none
}

// New returns a Conn over a connection of the system. Writes must go through the Conn from then on.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. Without it a bufio.Writer would write a large body in parts of the size of its buffer.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read implements net.Conn. It returns a *WriteError in place of io.EOF if a Write has met the failure of the connection.
// Nothing can be written after io.EOF: a target that has ended its response is not sent the rest of the request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := c.writeFailure(); failure != nil {
		return n, &WriteError{Cause: failure}
	}
	return n, err
}

// writeFailure returns the failure that a Write has met. It interrupts a Write that waits, and so returns only after one that
// was under way when the connection failed.
func (c *Conn) writeFailure() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails if the connection has been closed here; no Write waits then
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// isFailure reports whether the error of a write is the failure of its connection. EPIPE is not: the peer had closed the
// connection in order before it refused what was written, so that all it sent has arrived.
func isFailure(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
