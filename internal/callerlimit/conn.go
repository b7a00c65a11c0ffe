package callerlimit

import (
	"container/list"
	"net"
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/decide/headscan"
)

const (
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
	inBody  bool             // the refusal is for the body of the last request with a complete head
	counted bool             // the refusal has been counted
	// upgraded is set once the connection has left HTTP. Its bytes are not scanned from then on.
	upgraded bool
	// admitted is set once a request of the connection was admitted.
	admitted atomic.Bool

	// Guarded by the mutex of the limiter.
	silent   *list.Element // in Limiter.silent; nil while it must not be closed
	dropped  bool          // what it has taken was returned
	detached bool          // its memory was returned, though it is open
	taken    int64         // memory for heads and trailers
	open     int64         // part of taken for the head, or the trailers, that are not complete
	heads    []int64       // parts of taken for complete heads, and their trailers, that were not answered yet, in order
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
