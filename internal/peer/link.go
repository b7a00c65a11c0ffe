package peer

import (
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
	"siskintide.example/siskintide/internal/recovery"
)

// link is one authenticated connection. It has one reading and one writing goroutine; the
// goroutine of Node.Run decides when the link is retired.
type link struct {
	conn     *websocket.Conn
	options  *Options
	counters *atomicCounters
	peer     core.HostID
	session  core.SessionID
	dialer   core.HostID // the host that opened the connection

	queue      chan message.Message
	retiring   chan struct{} // closed by linkTable.retire: the writer flushes the queue and closes
	peerClosed chan struct{} // closed by the reader when the peer writes no more frames
	done       chan struct{} // closed when reader and writer have ended
}

func newLink(conn *websocket.Conn, options *Options, counters *atomicCounters, remote hello, dialer core.HostID) *link {
	conn.SetReadLimit(maxFrameBytes)
	return &link{
		conn: conn, options: options, counters: counters,
		peer: remote.Host, session: remote.Session, dialer: dialer,
		queue:      make(chan message.Message, options.QueueMessages),
		retiring:   make(chan struct{}),
		peerClosed: make(chan struct{}),
		done:       make(chan struct{}),
	}
}

// enqueue queues a message without blocking and reports whether it was queued.
func (l *link) enqueue(m message.Message) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.queue <- m:
		return true
	default:
		return false
	}
}

// run reads and writes messages until the link ends. It returns the cause, or nil if the
// peer sent a close frame and no write failed.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan error, 1)
	go func() {
		written <- l.write(ctx)
	}()
	readErr := l.read(ctx)
	if readErr != nil {
		cancel()
	}
	writeErr := <-written
	_ = l.conn.CloseNow()
	close(l.done)
	return errors.Join(readErr, writeErr)
}

// read delivers messages until the peer sends a close frame, for which it returns nil, or
// a frame cannot be read or decoded.
func (l *link) read(ctx context.Context) error {
	for {
		f, err := l.readFrame(ctx)
		if err != nil {
			return err
		}
		if f.Kind == kindClose {
			close(l.peerClosed)
			return nil
		}
		l.deliver(f)
	}
}

func (l *link) readFrame(ctx context.Context) (frame, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.ReadTimeout)
	defer cancel()
	_, data, err := l.conn.Read(ctx)
	if err != nil {
		return frame{}, err
	}
	l.counters.bytesIn.Add(uint64(len(data)))
	f, err := decodeFrame(data)
	if err != nil {
		l.counters.malformedFrames.Add(1)
	}
	return f, err
}

// deliver passes the message of a frame to Options.Receive. A message that cannot be
// decoded is counted and skipped, since the peer may run a later version.
func (l *link) deliver(f frame) {
	if f.Kind == kindKeepalive {
		return
	}
	var m message.Message
	err := recovery.Run(func() (err error) { m, err = decodeMessage(f); return err })
	var unknown *UnknownKindError
	switch {
	case errors.As(err, &unknown):
		l.counters.unknownKinds.Add(1)
	case err != nil:
		l.counters.malformedFrames.Add(1)
		l.options.Log.WithError(err).WithField("peer", l.peer).Warn("skipped a malformed message")
	default:
		l.counters.messagesIn.Add(1)
		l.options.Receive(l.peer, m)
	}
}

// write sends queued messages and keepalives. When the link is retired or the peer has
// closed its side, it flushes the queue, sends a close frame and returns.
func (l *link) write(ctx context.Context) error {
	idle := time.NewTicker(l.options.KeepaliveInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.retiring:
			return l.flushAndClose(ctx)
		case <-l.peerClosed:
			return l.flushAndClose(ctx)
		case m := <-l.queue:
			if err := l.writeMessage(ctx, m); err != nil {
				return err
			}
		case <-idle.C:
			if err := l.writeFrame(ctx, kindKeepalive, emptyBody{}); err != nil {
				return err
			}
		}
	}
}

// flushAndClose writes the messages that are already queued, then a close frame.
func (l *link) flushAndClose(ctx context.Context) error {
	for {
		select {
		case m := <-l.queue:
			if err := l.writeMessage(ctx, m); err != nil {
				return err
			}
		default:
			return l.writeFrame(ctx, kindClose, emptyBody{})
		}
	}
}

func (l *link) writeMessage(ctx context.Context, m message.Message) error {
	err := l.writeFrame(ctx, uint64(m.MessageKind()), m)
	var frameErr *FrameError
	if errors.As(err, &frameErr) {
		l.counters.dropped.Add(1)
		l.options.Log.WithError(err).WithField("peer", l.peer).Error("dropped a message that cannot be sent")
		return nil
	}
	if err == nil {
		l.counters.messagesOut.Add(1)
	}
	return err
}

// writeFrame sends one frame. It returns a FrameError, after which the link is still
// usable, if the frame cannot be encoded or is too large.
func (l *link) writeFrame(ctx context.Context, kind uint64, body any) error {
	data, err := encodeFrame(kind, body)
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return &FrameError{Kind: kind, Bytes: len(data)}
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.WriteTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	l.counters.bytesOut.Add(uint64(len(data)))
	return nil
}
