package edgehost

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/message"
	"siskintide.example/siskintide/internal/peer"
)

const (
	// linkReadTimeout closes a link on which nothing was received, so that a hub that was
	// frozen or cut off is dialled again when it is back.
	linkReadTimeout = 2500 * time.Millisecond
	// linkKeepaliveInterval is the keepalive interval of an idle link; it must be below the read
	// timeout.
	linkKeepaliveInterval = time.Second
	// linkMaxRedialDelay bounds the delay until a host that is back is linked again.
	linkMaxRedialDelay = 2 * time.Second
	// linkHandshakeTimeout bounds dialling and the authentication handshake.
	linkHandshakeTimeout = time.Second
	// reasonHandshake is the reason for which a connection is refused that is not of a host with the shared key.
	reasonHandshake = "no_handshake"
)

// linker links this host with others once the shared key is known.
type linker struct {
	self core.Host
	log  log.Interface
	// limiter bounds the connections of other hosts.
	limiter *callerlimit.Limiter
	node    atomic.Pointer[peer.Node]
	// peers is the latest list of hosts; it is needed if it was set before node.
	peers atomic.Pointer[[]core.Host]
}

// Send queues a message for a host. It returns false if there is no link to it.
func (l *linker) Send(to core.HostID, m message.Message) bool {
	node := l.node.Load()
	return node != nil && node.Send(to, m)
}

// SetPeers sets the hosts to keep links with.
func (l *linker) SetPeers(hosts []core.Host) {
	l.peers.Store(&hosts)
	if node := l.node.Load(); node != nil {
		node.SetPeers(hosts)
	}
}

// ServeHTTP accepts the links of other hosts.
func (l *linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node := l.node.Load()
	if node == nil {
		http.Error(w, "the key of the hosts is not known yet", http.StatusServiceUnavailable)
		return
	}
	node.Handler().ServeHTTP(w, r)
}

// run keeps links with other hosts until the context ends.
func (l *linker) run(ctx context.Context, key []byte, loop *edgecontrol.Loop) {
	node := peer.New(peer.Options{
		Self:              l.self,
		Session:           core.SessionID(uuid.NewString()),
		Key:               key,
		Receive:           loop.HandleMessage,
		LinkChanged:       loop.HandleLink,
		HandshakeFailed:   func(address string, _ error) { l.limiter.CountRefusal(reasonHandshake, address) },
		Authenticated:     func(r *http.Request) { callerlimit.Detach(r.Context()) },
		Log:               l.log,
		ReadTimeout:       linkReadTimeout,
		WriteTimeout:      linkReadTimeout,
		KeepaliveInterval: linkKeepaliveInterval,
		HandshakeTimeout:  linkHandshakeTimeout,
		MaxRedialDelay:    linkMaxRedialDelay,
	})
	l.node.Store(node)
	if peers := l.peers.Load(); peers != nil {
		node.SetPeers(*peers)
	}
	if err := node.Run(ctx); err != nil {
		l.log.WithError(err).Error("links to peers failed")
	}
}
