package edgehost

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/message"
	"siskintide.example/siskintide/internal/peer"
)

const (
	// linkReadTimeout ends a link whose other end has sent nothing, so that a hub that is
	// frozen or cut off is redialled when it is back.
	linkReadTimeout = 2500 * time.Millisecond
	// linkKeepalive keeps an idle link below the read timeout.
	linkKeepalive = time.Second
	// linkRedialMost bounds the delay before a host that is back is found again.
	linkRedialMost = 2 * time.Second
	// linkHandshake bounds dialling and proving the key.
	linkHandshake = time.Second
)

// linker links this host with others, as soon as the key that they share is known.
type linker struct {
	self core.Host
	log  log.Interface
	node atomic.Pointer[peer.Node]
	// wanted is the list of hosts that was set before there was a node.
	wanted atomic.Pointer[[]core.Host]
}

// Send queues a message for a host. It is false if there is no link to it.
func (l *linker) Send(to core.HostID, m message.Message) bool {
	node := l.node.Load()
	return node != nil && node.Send(to, m)
}

// SetPeers names the hosts to stay linked with.
func (l *linker) SetPeers(hosts []core.Host) {
	l.wanted.Store(&hosts)
	if node := l.node.Load(); node != nil {
		node.SetPeers(hosts)
	}
}

// ServeHTTP takes the connections of other hosts.
func (l *linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node := l.node.Load()
	if node == nil {
		http.Error(w, "the key of the hosts is not known yet", http.StatusServiceUnavailable)
		return
	}
	node.Handler().ServeHTTP(w, r)
}

// run links with hosts until the context ends.
func (l *linker) run(ctx context.Context, key []byte, loop *edgecontrol.Loop) {
	node := peer.New(peer.Options{
		Self:             l.self,
		Session:          core.SessionID(uuid.NewString()),
		Key:              key,
		Receive:          loop.HandleMessage,
		Changed:          loop.HandleLink,
		Log:              l.log,
		ReadTimeout:      linkReadTimeout,
		WriteTimeout:     linkReadTimeout,
		KeepaliveEvery:   linkKeepalive,
		HandshakeTimeout: linkHandshake,
		RedialMax:        linkRedialMost,
	})
	l.node.Store(node)
	if wanted := l.wanted.Load(); wanted != nil {
		node.SetPeers(*wanted)
	}
	if err := node.Run(ctx); err != nil {
		l.log.WithError(err).Error("links ended")
	}
}
