package callerlimit

import (
	"container/list"
	"io"
	"net"
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/decide/headscan"
)

const (
	// rejectTimeout bounds the write of a refusal; it fits into the buffer of the socket.
	rejectTimeout = 50 * time.Millisecond
	// lingerTime and lingerBytes bound what is still read, and dropped, after a refusal. A connection that is
	// closed while its caller sends is reset, and the caller may not get the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
	// headerTimeoutMarker and idleTimeoutMarker are the timeouts of the server. net/http reads them without
	// synchronization, so they cannot be changed while it runs. A connection replaces a deadline in half of the time of a
	// marker, or more, by that of the timeout in force. All other deadlines are far below.
	headerTimeoutMarker = 24 * time.Hour
	idleTimeoutMarker   = 100 * headerTimeoutMarker
	// defaultHeaderBytes bounds heads until a configuration is known.
	defaultHeaderBytes = 64 << 10
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	limiter *Limiter
	address string
	scanner headscan.Scanner // used by Read only, which the server does not call concurrently
	refusal string           // reason to refuse the next Read; empty for none
	// upgraded is set once the connection has left HTTP. Its bytes are not scanned from then on.
	upgraded bool
	// admitted is set once a request of the connection was admitted.
	admitted atomic.Bool

	// Guarded by the mutex of the limiter.
	silent   *list.Element // in Limiter.silent; nil while it must not be closed
	dropped  bool          // what it has taken was returned
	detached bool          // its memory was returned, though it is open
	taken    int64         // memory for heads
	open     int64         // part of taken for the head that is not complete
	heads    []int64       // parts of taken for complete heads that were not answered yet, in order
}

func newConn(accepted net.Conn, limiter *Limiter) *conn {
	address, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil {
		address = accepted.RemoteAddr().String()
	}
	return &conn{Conn: accepted, limiter: limiter, address: address}
}

// Read implements io.Reader. It returns no byte that completes a head which must be refused, and takes the
// memory for heads before they are parsed.
func (c *conn) Read(p []byte) (int, error) {
	if c.upgraded {
		return c.Conn.Read(p)
	}
	if c.refusal != "" {
		return 0, c.refuse()
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	limit := c.limiter.options.HeaderBytes()
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	result := c.scanner.Scan(p[:n], limit)
	valid := n
	if result.Reason != "" {
		valid, c.refusal = result.Valid, string(result.Reason)
	}
	if reason := c.take(result); reason != "" {
		valid, c.refusal = 0, reason
		c.limiter.Relieve()
	}
	if valid == 0 {
		return 0, c.refuse()
	}
	return valid, err
}

// take takes the memory for the heads of a result. It returns a reason if there is no room.
func (c *conn) take(result headscan.Result) string {
	if len(result.Heads) == 0 && result.Open == c.open {
		return ""
	}
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.dropped {
		return reasonSilent
	}
	total, largest := result.Open, result.Open
	for _, cost := range result.Heads {
		total, largest = total+cost, max(largest, cost)
	}
	class := callerbudget.Head
	if largest > callerbudget.UsualHeadBytes {
		class = callerbudget.LargeHead
	}
	if more := total - c.open; more > 0 {
		if reason := l.budget.Take(class, c.address, more); reason != "" {
			return string(reason)
		}
		c.taken += more
	}
	c.open = result.Open
	c.heads = append(c.heads, result.Heads...)
	if len(result.Heads) > 0 {
		l.heard(c)
	}
	return ""
}

// endRequest returns the memory of the head of the request that was answered.
func (c *conn) endRequest() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.dropped || len(c.heads) == 0 {
		return
	}
	l.budget.Give(c.address, c.heads[0])
	c.taken -= c.heads[0]
	c.heads = c.heads[1:]
	if len(c.heads) == 0 {
		c.heads = nil
		if !c.admitted.Load() {
			c.silent = l.silent.PushBack(c)
		}
	}
}

// upgrade records that the connection has left HTTP, and returns the memory of its heads. The server does not read at that time.
func (c *conn) upgrade() {
	c.upgraded = true
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.dropped {
		return
	}
	l.heard(c)
	l.giveHeads(c)
}

// detach returns the memory of the connection.
func (c *conn) detach() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.dropped && !c.detached {
		l.budget.DetachConnection(c.address)
		c.detached = true
	}
}

// refuse answers with a refusal, unless an earlier request is still being answered, and returns the error for the
// server, which closes the connection.
func (c *conn) refuse() error {
	reason := c.refusal
	c.limiter.count(reason, c.address)
	c.limiter.mu.Lock()
	answering := len(c.heads) > 0
	c.limiter.mu.Unlock()
	if !answering {
		c.respond(reason)
		c.linger()
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

// closeEvicted closes a connection whose memory was returned already.
func (c *conn) closeEvicted() { _ = c.Conn.Close() }

// CloseWrite ends the sending side. The server uses it so that a response reaches a caller that still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. The server calls it when a head or an idle time begins.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		return c.Conn.SetReadDeadline(deadline)
	}
	now := time.Now()
	switch left := deadline.Sub(now); {
	case left >= idleTimeoutMarker/2:
		deadline = now.Add(c.limiter.options.Timeouts().Idle)
	case left >= headerTimeoutMarker/2:
		deadline = now.Add(c.limiter.options.Timeouts().Header)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.drop(c)
	return err
}
