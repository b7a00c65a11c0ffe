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

// Path is the URL path at which peers dial each other's Handler.
const Path = "/peer"

// Node maintains this host's links to its peers. Its methods are safe for concurrent use.
type Node struct {
	options      Options
	client       *http.Client
	counters     atomicCounters
	links        atomic.Pointer[map[core.HostID]*link] // current links; the map is never changed
	wantedPeers  atomic.Pointer[[]core.Host]
	peersChanged chan struct{} // signals that wantedPeers was replaced
	events       chan event    // unbuffered, so that an event that was sent has been received by Run
	handshakes   chan struct{} // semaphore for incoming connections that are not yet authenticated
	rejections   rejectionLog
	stopped      chan struct{} // closed when Run returns
	goroutines   sync.WaitGroup
}

// New returns a node without links. Run maintains its links.
func New(options Options) *Node {
	n := &Node{
		options:      options.withDefaults(),
		client:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		peersChanged: make(chan struct{}, 1),
		events:       make(chan event),
		handshakes:   make(chan struct{}, maxHandshakes),
		stopped:      make(chan struct{}),
	}
	n.links.Store(&map[core.HostID]*link{})
	n.wantedPeers.Store(&[]core.Host{})
	return n
}

// Run owns the table of links until the context is done, and returns nil after every
// goroutine of the node has ended. It must be called only once.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer close(n.stopped)
	defer n.goroutines.Wait()
	defer cancel()
	t := &linkTable{node: n, ctx: ctx, peers: map[core.HostID]*peerEntry{}}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.peersChanged:
			t.setPeers(*n.wantedPeers.Load())
		case e := <-n.events:
			e.apply(t)
		}
	}
}

// SetPeers replaces the set of hosts to which the node keeps links. It does not block.
func (n *Node) SetPeers(hosts []core.Host) {
	copied := append([]core.Host(nil), hosts...)
	n.wantedPeers.Store(&copied)
	select {
	case n.peersChanged <- struct{}{}:
	default:
	}
}

// Send queues a message for a host and reports whether it was queued. It returns false if
// there is no link to the host or the queue is full. It never blocks. The caller must not
// change the message afterwards. A queued message is lost if its link ends before it is
// written.
func (n *Node) Send(to core.HostID, m message.Message) bool {
	l := (*n.links.Load())[to]
	if l != nil && l.enqueue(m) {
		return true
	}
	n.counters.dropped.Add(1)
	return false
}

// Counters returns the current totals over all links.
func (n *Node) Counters() Counters { return n.counters.snapshot() }

// Handler accepts connections from peers. It must be mounted at Path on the listener for
// peers.
func (n *Node) Handler() http.Handler { return http.HandlerFunc(n.accept) }

func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	select {
	case n.handshakes <- struct{}{}:
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		n.reject(r, &HandshakesError{Limit: maxHandshakes})
		return
	}
	l, err := n.acceptLink(w, r)
	<-n.handshakes
	if err != nil {
		n.reject(r, err)
		return
	}
	n.options.Authenticated(r)
	if !n.post(r.Context(), linkUp{link: l}) {
		_ = l.conn.CloseNow()
	}
}

// reject counts an incoming connection that was not authenticated, and logs it at a limited rate.
func (n *Node) reject(r *http.Request, cause error) {
	n.counters.failedHandshakes.Add(1)
	n.options.HandshakeFailed(r.RemoteAddr, cause)
	if count, due := n.rejections.add(n.options.Clock.Now()); due {
		n.options.Log.WithError(cause).WithField("address", r.RemoteAddr).WithField("count", count).Warn("rejected a peer connection")
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
	return newLink(conn, &n.options, &n.counters, remote, remote.Host), nil
}

// dial makes one attempt to establish a link to a host and posts the result.
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
	return newLink(conn, &n.options, &n.counters, remote, n.options.Self.ID), nil
}

// post sends an event to the goroutine of Node.Run. It returns false if the context is
// done or Run has returned.
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
