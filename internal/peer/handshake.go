package peer

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/coder/websocket"

	"siskintide.example/siskintide/internal/core"
)

// handshake authenticates both ends of a new connection: each end proves with an HMAC
// over both hellos that it holds the shared key.
type handshake struct {
	conn *websocket.Conn
	self hello
	key  []byte
}

func newHandshake(conn *websocket.Conn, options *Options) *handshake {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never returns an error: the program crashes if no randomness is available
	return &handshake{
		conn: conn,
		key:  options.Key,
		self: hello{Version: ProtocolVersion, Host: options.Self.ID, Session: options.Session, Nonce: nonce},
	}
}

// dial runs the handshake as the dialer of the given host. It returns the remote hello,
// whose fields are authenticated.
func (h *handshake) dial(ctx context.Context, to core.HostID) (hello, error) {
	h.self.To = to
	if err := h.write(ctx, kindHello, h.self); err != nil {
		return hello{}, err
	}
	remote, err := h.readHello(ctx)
	if err != nil {
		return hello{}, err
	}
	if remote.Host != to {
		return hello{}, &IdentityError{Want: to, Got: remote.Host}
	}
	t := newTranscript(h.self, remote)
	if err := t.verify(roleAcceptor, h.key, remote.Proof, remote.Host); err != nil {
		return hello{}, err
	}
	proof, err := t.proof(roleDialer, h.key)
	if err != nil {
		return hello{}, err
	}
	return remote, h.write(ctx, kindConfirm, confirmation{Proof: proof})
}

// accept runs the handshake as the host that was dialled. If it returns no error, the
// remote hello is authenticated.
func (h *handshake) accept(ctx context.Context) (hello, error) {
	remote, err := h.readHello(ctx)
	if err != nil {
		return hello{}, err
	}
	h.self.To = remote.Host
	t := newTranscript(remote, h.self)
	if h.self.Proof, err = t.proof(roleAcceptor, h.key); err != nil {
		return hello{}, err
	}
	if err := h.write(ctx, kindHello, h.self); err != nil {
		return hello{}, err
	}
	var confirm confirmation
	if err := h.read(ctx, kindConfirm, &confirm); err != nil {
		return hello{}, err
	}
	return remote, t.verify(roleDialer, h.key, confirm.Proof, remote.Host)
}

func (h *handshake) readHello(ctx context.Context) (hello, error) {
	var remote hello
	if err := h.read(ctx, kindHello, &remote); err != nil {
		return hello{}, err
	}
	if remote.Version != ProtocolVersion {
		return hello{}, &VersionError{Remote: remote.Version}
	}
	if remote.To != h.self.Host || remote.Host == h.self.Host {
		return hello{}, &IdentityError{Want: h.self.Host, Got: remote.To}
	}
	if len(remote.Nonce) != nonceBytes {
		return hello{}, &FrameError{Kind: kindHello, Bytes: len(remote.Nonce)}
	}
	return remote, nil
}

func (h *handshake) read(ctx context.Context, kind uint64, body any) error {
	_, data, err := h.conn.Read(ctx)
	if err != nil {
		return fmt.Errorf("reading handshake: %w", err)
	}
	f, err := decodeFrame(data)
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return &FrameError{Kind: f.Kind, Bytes: len(data)}
	}
	if err := decoder.Unmarshal(f.Body, body); err != nil {
		return &FrameError{Kind: kind, Bytes: len(data), Cause: err}
	}
	return nil
}

func (h *handshake) write(ctx context.Context, kind uint64, body any) error {
	data, err := encodeFrame(kind, body)
	if err != nil {
		return err
	}
	if err := h.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("writing handshake: %w", err)
	}
	return nil
}
