package peer

import (
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
	// Receive takes a message of an authenticated peer. It is called by one goroutine a
	// link, and a slow call holds back that link only.
	Receive func(from core.HostID, m message.Message)
	// LinkChanged is called by the goroutine of the table when the link to a host comes up
	// or ends. It must not wait.
	LinkChanged func(host core.HostID, up bool)
	// Refused is called when a connection to the Handler does not prove itself.
	Refused func(address string, cause error)
	Log     log.Interface
	Clock   clockwork.Clock // times the delay before a redial; nil means the real clock

	QueueMessages     int // messages that may wait for one peer
	WriteTimeout      time.Duration
	ReadTimeout       time.Duration
	KeepaliveInterval time.Duration
	HandshakeTimeout  time.Duration
	MinRedialDelay    time.Duration
	MaxRedialDelay    time.Duration
}

// withDefaults returns the options with every unset field filled in.
func (o Options) withDefaults() Options {
	setDefault(&o.QueueMessages, defaultQueueMessages)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.KeepaliveInterval, defaultKeepaliveEvery)
	setDefault(&o.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&o.MinRedialDelay, defaultRedialFirst)
	setDefault(&o.MaxRedialDelay, defaultRedialMax)
	if o.Receive == nil {
		o.Receive = func(core.HostID, message.Message) {}
	}
	if o.LinkChanged == nil {
		o.LinkChanged = func(core.HostID, bool) {}
	}
	if o.Refused == nil {
		o.Refused = func(string, error) {}
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
