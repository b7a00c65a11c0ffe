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
	inBody  bool             // the refusal is for the body of the last request with a complete head
	counted bool             // the refusal has been counted
	// admitted is set once a request of the connection was admitted.
	admitted atomic.Bool

	// Guarded by the mutex of the limiter.
	silent  *list.Element // in Limiter.silent; nil while it must not be closed
	dropped bool          // what it has taken was returned
	taken   int64         // memory for heads and trailers
	open    int64         // part of taken for the head, or the trailers, that are not complete
	heads   []int64       // parts of taken for complete heads, and their trailers, that were not answered yet, in order
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
		valid, c.refusal, c.inBody = result.Valid, string(result.Reason), result.InBody
	}
	if reason := c.take(result); reason != "" {
		c.refusal, c.inBody = reason, result.Trailers > 0 || result.InBody && len(result.Heads) == 0
		valid = c.validWithoutHeads(result, valid)
		c.limiter.Relieve()
	}
	if valid == 0 {
		return 0, c.refuse()
	}
	return valid, err
}

// take takes the memory for the heads of a result. It returns a reason if there is no room.
func (c *conn) take(result headscan.Result) string {
	if len(result.Heads) == 0 && result.Trailers == 0 && result.Open == c.open {
		return ""
	}
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.dropped {
		return reasonSilent
	}
	total, largest := result.Open+result.Trailers, max(result.Open, result.Trailers)
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
	if result.Trailers > 0 {
		c.addTrailers(result.Trailers)
	}
	if len(result.Heads) > 0 {
		l.heard(c)
	}
	return ""
}

// addTrailers adds the memory of trailers to that of the last request, or returns it if there is none. The mutex is held.
func (c *conn) addTrailers(cost int64) {
	if last := len(c.heads) - 1; last >= 0 {
		c.heads[last] += cost
		return
	}
	c.limiter.budget.Give(c.address, cost)
	c.taken -= cost
}

// validWithoutHeads returns how many of the valid bytes may be passed on if there is no memory for the heads or trailers
// among them: those of the body of the request in work.
func (c *conn) validWithoutHeads(result headscan.Result, valid int) int {
	switch {
	case c.headsInWork() == 0 || c.inBody:
		return 0
	case len(result.Heads) == 0:
		return valid // with the beginning of a head, which stays in the buffer of the connection
	default:
		return result.FirstHead
	}
}

// headsInWork returns the number of requests whose heads are complete and that were not answered yet.
func (c *conn) headsInWork() int {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return len(c.heads)
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

// closeEvicted closes a connection whose memory was returned already.
func (c *conn) closeEvicted() { _ = c.Conn.Close() }

// CloseWrite ends the sending side. The server uses it so that a response reaches a caller that still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.drop(c)
	return err
}
