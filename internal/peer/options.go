package peer

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// Options configures a Node. Self, Session and Key are required; a zero duration or
// count selects its default.
type Options struct {
	Self    core.Host
	Session core.SessionID
	Key     []byte // shared by all hosts of the deployment
	// Receive is called for each message from an authenticated peer, by the reading
	// goroutine of the link. A slow call delays only that link.
	Receive func(from core.HostID, m message.Message)
	// LinkChanged is called by the goroutine of Node.Run when the link to a host comes up
	// or ends, but not when another link of the same session replaces it. It must not
	// block.
	LinkChanged func(host core.HostID, up bool)
	// HandshakeFailed is called when a connection to Handler fails before it is
	// authenticated.
	HandshakeFailed func(address string, cause error)
	// Authenticated is called when a connection to Handler is, with its request.
	Authenticated func(r *http.Request)
	Log           log.Interface
	Clock         clockwork.Clock // for redial delays and the grace period of redundant links; nil means the real clock

	QueueMessages     int // capacity of the send queue of a link
	WriteTimeout      time.Duration
	ReadTimeout       time.Duration
	KeepaliveInterval time.Duration
	HandshakeTimeout  time.Duration
	MinRedialDelay    time.Duration
	MaxRedialDelay    time.Duration
}

// withDefaults returns the options with defaults for all unset optional fields.
func (o Options) withDefaults() Options {
	setDefault(&o.QueueMessages, defaultQueueMessages)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.KeepaliveInterval, defaultKeepaliveInterval)
	setDefault(&o.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&o.MinRedialDelay, defaultMinRedialDelay)
	setDefault(&o.MaxRedialDelay, defaultMaxRedialDelay)
	if o.Receive == nil {
		o.Receive = func(core.HostID, message.Message) {}
	}
	if o.LinkChanged == nil {
		o.LinkChanged = func(core.HostID, bool) {}
	}
	if o.HandshakeFailed == nil {
		o.HandshakeFailed = func(string, error) {}
	}
	if o.Authenticated == nil {
		o.Authenticated = func(*http.Request) {}
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
