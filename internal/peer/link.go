package peer

import (
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// link is one authenticated connection. Its reader and writer run in goroutines of their
// own; the goroutine of the table decides when it retires.
type link struct {
	conn    *websocket.Conn
	options *Options
	meter   *meter
	peer    core.HostID
	session core.SessionID
	dialer  core.HostID // the end that opened the connection

	queue    chan message.Message
	retiring chan struct{} // closed by the table: write what is queued, then end
	left     chan struct{} // closed by the reader: the peer writes nothing more
	done     chan struct{} // closed when reader and writer have ended
}

func newLink(conn *websocket.Conn, options *Options, m *meter, remote hello, dialer core.HostID) *link {
	conn.SetReadLimit(maxFrameBytes)
	return &link{
		conn: conn, options: options, meter: m,
		peer: remote.Host, session: remote.Session, dialer: dialer,
		queue:    make(chan message.Message, options.QueueMessages),
		retiring: make(chan struct{}),
		left:     make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// offer queues a message without waiting and reports whether it was queued.
func (l *link) offer(m message.Message) bool {
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

// run carries messages until the link ends and returns the cause, nil for an orderly end.
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

// read takes frames until the peer says bye, which is no error, or the link fails.
func (l *link) read(ctx context.Context) error {
	for {
		f, err := l.readFrame(ctx)
		if err != nil {
			return err
		}
		if f.Kind == kindBye {
			close(l.left)
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
	l.meter.bytesIn.Add(uint64(len(data)))
	f, err := decodeFrame(data)
	if err != nil {
		l.meter.malformed.Add(1)
	}
	return f, err
}

// deliver hands the message of a frame to the receiver. A frame that cannot be decoded
// is skipped and counted: the peer may run a later build.
func (l *link) deliver(f frame) {
	if f.Kind == kindKeepalive {
		return
	}
	m, err := decodeMessage(f)
	var unknown *UnknownKindError
	switch {
	case errors.As(err, &unknown):
		l.meter.unknownKinds.Add(1)
	case err != nil:
		l.meter.malformed.Add(1)
		l.options.Log.WithError(err).WithField("peer", l.peer).Warn("skipped a malformed message")
	default:
		l.meter.messagesIn.Add(1)
		l.options.Receive(l.peer, m)
	}
}

// write sends queued messages until the link retires or the peer has left, and then
// says bye.
func (l *link) write(ctx context.Context) error {
	idle := time.NewTicker(l.options.KeepaliveInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.retiring:
			return l.finish(ctx)
		case <-l.left:
			return l.finish(ctx)
		case m := <-l.queue:
			if err := l.writeMessage(ctx, m); err != nil {
				return err
			}
		case <-idle.C:
			if err := l.writeFrame(ctx, kindKeepalive, empty{}); err != nil {
				return err
			}
		}
	}
}

// finish writes what is queued now and then says bye.
func (l *link) finish(ctx context.Context) error {
	for {
		select {
		case m := <-l.queue:
			if err := l.writeMessage(ctx, m); err != nil {
				return err
			}
		default:
			return l.writeFrame(ctx, kindBye, empty{})
		}
	}
}

func (l *link) writeMessage(ctx context.Context, m message.Message) error {
	err := l.writeFrame(ctx, uint64(m.MessageKind()), m)
	var unsent *FrameError
	if errors.As(err, &unsent) {
		l.meter.dropped.Add(1)
		l.options.Log.WithError(err).WithField("peer", l.peer).Error("dropped a message that cannot be sent")
		return nil
	}
	if err == nil {
		l.meter.messagesOut.Add(1)
	}
	return err
}

// writeFrame sends one frame. It returns a FrameError, and leaves the link usable, if
// the frame cannot be encoded or is too large.
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
	l.meter.bytesOut.Add(uint64(len(data)))
	return nil
}
