package peer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// Path is the path under which peers dial each other's Handler.
const Path = "/peer"

// Node is this host's end of all its links. Its methods are safe for concurrent use.
type Node struct {
	options    Options
	client     *http.Client
	meter      meter
	links      atomic.Pointer[map[core.HostID]*link] // current links; the map is never changed
	wanted     atomic.Pointer[[]core.Host]
	wantedNews chan struct{} // holds one token when wanted was replaced
	events     chan event    // without a buffer, so that Run applies each event that it takes
	handshakes chan struct{} // one token for each connection that has not proved its key
	stopped    chan struct{} // closed when Run returns
	goroutines sync.WaitGroup
}

// New returns a node without links. Run makes it work.
func New(options Options) *Node {
	n := &Node{
		options:    options.withDefaults(),
		client:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		wantedNews: make(chan struct{}, 1),
		events:     make(chan event),
		handshakes: make(chan struct{}, maxHandshakes),
		stopped:    make(chan struct{}),
	}
	n.links.Store(&map[core.HostID]*link{})
	n.wanted.Store(&[]core.Host{})
	return n
}

// Run owns the table of links until the context ends, and returns after every goroutine
// of the node has ended. It is called once.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer close(n.stopped)
	defer n.goroutines.Wait()
	defer cancel()
	t := &table{node: n, ctx: ctx, remotes: map[core.HostID]*remote{}}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wantedNews:
			t.setPeers(*n.wanted.Load())
		case e := <-n.events:
			e.apply(t)
		}
	}
}

// SetPeers names the hosts to stay linked with. It does not wait.
func (n *Node) SetPeers(hosts []core.Host) {
	copied := append([]core.Host(nil), hosts...)
	n.wanted.Store(&copied)
	select {
	case n.wantedNews <- struct{}{}:
	default:
	}
}

// Send queues a message for a host and reports whether it was queued; it is false when
// there is no link or the queue is full. It never waits. The caller must not change the
// message afterwards. A queued message is lost if its link ends first.
func (n *Node) Send(to core.HostID, m message.Message) bool {
	l := (*n.links.Load())[to]
	if l != nil && l.offer(m) {
		return true
	}
	n.meter.dropped.Add(1)
	return false
}

// Counters returns what all links have carried so far.
func (n *Node) Counters() Counters { return n.meter.read() }

// Handler accepts the connections of peers. It belongs on the peer listener, under Path.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.accept) }

func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	select {
	case n.handshakes <- struct{}{}:
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l, err := n.acceptLink(w, r)
	<-n.handshakes
	if err != nil {
		n.meter.refused.Add(1)
		n.options.Log.WithError(err).WithField("address", r.RemoteAddr).Warn("refused a peer")
		n.options.Refused(r.RemoteAddr, err)
		return
	}
	if !n.post(r.Context(), linkUp{link: l}) {
		_ = l.conn.CloseNow()
	}
}

func (n *Node) acceptLink(w http.ResponseWriter, r *http.Request) (*link, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("accepting peer: %w", err)
	}
	conn.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(context.Background(), n.options.HandshakeTimeout)
	defer cancel()
	remote, err := newHandshake(conn, &n.options).accept(ctx)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(conn, &n.options, &n.meter, remote, remote.Host), nil
}

// dial tries once to link with a host and posts the result.
func (n *Node) dial(ctx context.Context, host core.Host) {
	l, err := n.dialLink(ctx, host)
	if err != nil {
		n.post(ctx, dialFailed{host: host.ID, cause: err})
		return
	}
	if !n.post(ctx, linkUp{link: l}) {
		_ = l.conn.CloseNow()
	}
}

func (n *Node) dialLink(ctx context.Context, host core.Host) (*link, error) {
	address, err := netip.ParseAddrPort(host.PeerAddress)
	if err != nil {
		return nil, &AddressError{Address: host.PeerAddress, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, n.options.HandshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address.String()+Path, &websocket.DialOptions{HTTPClient: n.client})
	if err != nil {
		return nil, fmt.Errorf("dialling peer: %w", err)
	}
	conn.SetReadLimit(maxHandshakeBytes)
	remote, err := newHandshake(conn, &n.options).dial(ctx, host.ID)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(conn, &n.options, &n.meter, remote, n.options.Self.ID), nil
}

// post hands an event to the goroutine of the table. It reports false when the context
// or the node has ended.
func (n *Node) post(ctx context.Context, e event) bool {
	select {
	case n.events <- e:
		return true
	case <-ctx.Done():
		return false
	case <-n.stopped:
		return false
	}
}
