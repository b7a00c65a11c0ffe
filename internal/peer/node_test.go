package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout limits the wait for an event that must happen. No test measures against it.
const waitTimeout = 30 * time.Second

type linkChange struct {
	host core.HostID
	up   bool
}

type delivery struct {
	from core.HostID
	m    message.Message
}

// endpoint is a running node with its listener. It records the link changes and messages
// that the node reports.
type endpoint struct {
	*Node
	host     core.Host
	changes  chan linkChange
	received chan delivery
}

func startEndpoint(t testing.TB, id core.HostID, adjust func(*Options)) *endpoint {
	t.Helper()
	e := &endpoint{changes: make(chan linkChange, 100), received: make(chan delivery, 100)}
	options := Options{
		Self: core.Host{ID: id}, Session: "s-" + core.SessionID(id), Key: []byte("key"),
		Receive:     func(from core.HostID, m message.Message) { e.received <- delivery{from, m} },
		LinkChanged: func(host core.HostID, up bool) { e.changes <- linkChange{host, up} },
		Log:         &log.Logger{Handler: discard.New()},
	}
	if adjust != nil {
		adjust(&options)
	}
	e.Node = New(options)
	mux := http.NewServeMux()
	mux.Handle(Path, e.Handler())
	server := httptest.NewServer(mux)
	e.host = core.Host{ID: id, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, receive(t, ended))
		server.Close()
	})
	return e
}

func receive[T any](t testing.TB, values <-chan T) T {
	t.Helper()
	select {
	case v := <-values:
		return v
	case <-time.After(waitTimeout):
		require.FailNow(t, "nothing arrived")
		panic("unreachable")
	}
}

func TestMessagesTravelBothWays(t *testing.T) {
	a := startEndpoint(t, "a", nil)
	b := startEndpoint(t, "b", nil)
	a.SetPeers([]core.Host{a.host, b.host})
	require.Equal(t, linkChange{"b", true}, receive(t, a.changes))
	require.Equal(t, linkChange{"a", true}, receive(t, b.changes))
	for _, m := range samples {
		require.True(t, a.Send("b", m))
		require.Equal(t, delivery{"a", m}, receive(t, b.received))
		require.True(t, b.Send("a", m))
		require.Equal(t, delivery{"b", m}, receive(t, a.received))
	}
	require.False(t, a.Send("nobody", samples[0]))
	require.EqualValues(t, len(samples), a.Counters().MessagesIn)
	require.EqualValues(t, 1, a.Counters().Dropped)
}

func TestSimultaneousDialsLeaveOneLink(t *testing.T) {
	a := startEndpoint(t, "a", nil)
	b := startEndpoint(t, "b", nil)
	a.SetPeers([]core.Host{b.host})
	b.SetPeers([]core.Host{a.host})
	require.Equal(t, linkChange{"b", true}, receive(t, a.changes))
	require.Equal(t, linkChange{"a", true}, receive(t, b.changes))
	require.True(t, a.Send("b", samples[6]))
	require.Equal(t, delivery{"a", samples[6]}, receive(t, b.received))
	require.True(t, b.Send("a", samples[6]))
	require.Equal(t, delivery{"b", samples[6]}, receive(t, a.received))
	require.Empty(t, a.changes, "the replacement of a link is not reported")
	require.Empty(t, b.changes, "the replacement of a link is not reported")
}

func TestBothEndsChooseTheSameLink(t *testing.T) {
	cases := []struct {
		name               string
		current, candidate link
		want               bool
	}{
		{"the smaller host's link comes second", link{session: "s", dialer: "b"}, link{session: "s", dialer: "a"}, true},
		{"the smaller host's link came first", link{session: "s", dialer: "a"}, link{session: "s", dialer: "b"}, false},
		{"the same host dials again", link{session: "s", dialer: "b"}, link{session: "s", dialer: "b"}, true},
		{"the peer restarted", link{session: "s", dialer: "a"}, link{session: "s2", dialer: "b"}, true},
	}
	for _, c := range cases {
		require.Equal(t, c.want, replaces(&c.current, &c.candidate), c.name)
	}
}

func TestLinkIsReestablishedAfterItEnds(t *testing.T) {
	a := startEndpoint(t, "a", func(o *Options) { o.MinRedialDelay = time.Millisecond })
	b := startEndpoint(t, "b", nil)
	a.SetPeers([]core.Host{b.host})
	require.Equal(t, linkChange{"b", true}, receive(t, a.changes))
	require.NoError(t, (*a.links.Load())["b"].conn.CloseNow())
	require.Equal(t, linkChange{"b", false}, receive(t, a.changes))
	require.Equal(t, linkChange{"b", true}, receive(t, a.changes))
	a.SetPeers(nil)
	require.Equal(t, linkChange{"b", false}, receive(t, a.changes))
}

func TestHandshakeRefusals(t *testing.T) {
	cases := []struct {
		name    string
		adjust  func(*Options)
		dialled core.HostID
		want    any
	}{
		{"wrong key", func(o *Options) { o.Key = []byte("other") }, "b", new(*AuthenticationError)},
		{"address of another host", nil, "c", new(error)},
		{"own identity", func(o *Options) { o.Self.ID = "b" }, "b", new(error)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := startEndpoint(t, "b", nil)
			options := Options{Self: core.Host{ID: "a"}, Session: "s", Key: []byte("key")}
			if c.adjust != nil {
				c.adjust(&options)
			}
			_, err := New(options).dialLink(t.Context(), core.Host{ID: c.dialled, PeerAddress: b.host.PeerAddress})
			require.ErrorAs(t, err, c.want)
			require.Empty(t, b.changes)
			require.Empty(t, b.received)
		})
	}
}

// dialRaw connects to the endpoint without a handshake.
func dialRaw(t *testing.T, e *endpoint) *websocket.Conn {
	t.Helper()
	conn, _, err := websocket.Dial(t.Context(), "ws://"+e.host.PeerAddress+Path, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.CloseNow() })
	return conn
}

func TestUnauthenticatedHostChangesNothing(t *testing.T) {
	nonce := make([]byte, nonceBytes)
	good := hello{Version: ProtocolVersion, Host: "a", Session: "s", To: "b", Nonce: nonce}
	version := good
	version.Version = ProtocolVersion + 1
	short := good
	short.Nonce = nonce[1:]
	misaddressed := good
	misaddressed.To = "c"
	reflected := good
	reflected.Host = "b"
	cases := []struct {
		name   string
		frames []any
		want   any
	}{
		{"other version", []any{version}, new(*VersionError)},
		{"short nonce", []any{short}, new(*FrameError)},
		{"meant for another host", []any{misaddressed}, new(*IdentityError)},
		{"own identity", []any{reflected}, new(*IdentityError)},
		{"message before the handshake", []any{samples[6]}, new(*FrameError)},
		{"false proof", []any{good, confirmation{Proof: make([]byte, 32)}}, new(*AuthenticationError)},
		{"message in place of the proof", []any{good, samples[6]}, new(*FrameError)},
		{"oversized hello", []any{message.ConfigBody{Body: make([]byte, maxHandshakeBytes)}}, new(error)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			failures := make(chan error, 1)
			b := startEndpoint(t, "b", func(o *Options) { o.HandshakeFailed = func(_ string, cause error) { failures <- cause } })
			conn := dialRaw(t, b)
			for _, body := range c.frames {
				writeRaw(t, conn, body)
			}
			require.ErrorAs(t, receive(t, failures), c.want)
			require.EqualValues(t, 1, b.Counters().FailedHandshakes)
			require.Empty(t, b.changes)
			require.Empty(t, b.received)
			require.Zero(t, b.Counters().MessagesIn)
		})
	}
}

func writeRaw(t *testing.T, conn *websocket.Conn, body any) {
	t.Helper()
	kind := kindHello
	switch v := body.(type) {
	case confirmation:
		kind = kindConfirm
	case message.Message:
		kind = uint64(v.MessageKind())
	}
	data, err := encodeFrame(kind, body)
	require.NoError(t, err)
	require.NoError(t, conn.Write(t.Context(), websocket.MessageBinary, data))
}

// linkRaw opens an authenticated connection from which the test does not read.
func linkRaw(t *testing.T, e *endpoint) *websocket.Conn {
	t.Helper()
	conn := dialRaw(t, e)
	options := Options{Self: core.Host{ID: "raw"}, Session: "s", Key: []byte("key")}
	_, err := newHandshake(conn, &options).dial(t.Context(), e.host.ID)
	require.NoError(t, err)
	require.Equal(t, linkChange{"raw", true}, receive(t, e.changes))
	return conn
}

func TestUnknownAndMalformedMessagesAreSkipped(t *testing.T) {
	b := startEndpoint(t, "b", nil)
	conn := linkRaw(t, b)
	for _, kind := range []uint64{200, 300, uint64(message.KindTicketGrant)} {
		data, err := encodeFrame(kind, 1)
		require.NoError(t, err)
		require.NoError(t, conn.Write(t.Context(), websocket.MessageBinary, data))
	}
	writeRaw(t, conn, samples[6])
	require.Equal(t, delivery{"raw", samples[6]}, receive(t, b.received))
	require.EqualValues(t, 2, b.Counters().UnknownKinds)
	require.EqualValues(t, 1, b.Counters().MalformedFrames)
}

func TestOversizedFrameEndsTheLink(t *testing.T) {
	b := startEndpoint(t, "b", nil)
	conn := linkRaw(t, b)
	data, err := encodeFrame(uint64(message.KindConfigBody), message.ConfigBody{Body: make([]byte, maxFrameBytes)})
	require.NoError(t, err)
	_ = conn.Write(t.Context(), websocket.MessageBinary, data)
	require.Equal(t, linkChange{"raw", false}, receive(t, b.changes))
	require.Empty(t, b.received)
}

func TestStalledPeerIsDisconnectedWithoutBlockingOthers(t *testing.T) {
	b := startEndpoint(t, "b", func(o *Options) {
		o.QueueMessages = 4
		o.WriteTimeout = 100 * time.Millisecond
		o.ReadTimeout = time.Hour
	})
	other := startEndpoint(t, "other", nil)
	b.SetPeers([]core.Host{other.host})
	require.Equal(t, linkChange{"other", true}, receive(t, b.changes))
	linkRaw(t, b)
	large := message.ConfigBody{Body: make([]byte, 1<<20)}
	rejected := false
	for range 1000 {
		rejected = !b.Send("raw", large) || rejected
	}
	require.True(t, rejected, "the queue of a stalled peer is bounded")
	require.True(t, b.Send("other", samples[6]))
	require.Equal(t, delivery{"b", samples[6]}, receive(t, other.received))
	require.Equal(t, linkChange{"raw", false}, receive(t, b.changes))
}

func TestSilentPeerIsDisconnected(t *testing.T) {
	b := startEndpoint(t, "b", func(o *Options) { o.ReadTimeout = 50 * time.Millisecond })
	linkRaw(t, b)
	require.Equal(t, linkChange{"raw", false}, receive(t, b.changes))
}

func TestOversizedMessageIsDroppedAndTheLinkStays(t *testing.T) {
	a := startEndpoint(t, "a", nil)
	b := startEndpoint(t, "b", nil)
	a.SetPeers([]core.Host{b.host})
	require.Equal(t, linkChange{"b", true}, receive(t, a.changes))
	require.True(t, a.Send("b", message.ConfigBody{Body: make([]byte, maxFrameBytes)}))
	require.True(t, a.Send("b", samples[6]))
	require.Equal(t, delivery{"a", samples[6]}, receive(t, b.received))
	require.EqualValues(t, 1, a.Counters().Dropped)
}
