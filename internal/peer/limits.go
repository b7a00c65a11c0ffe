package peer

import "time"

const (
	// maxFrameBytes limits the memory for one frame. A complete configuration of the
	// planned size takes less than 1 MiB.
	maxFrameBytes = 4 << 20
	// maxHandshakeBytes limits a frame of a host that is not yet authenticated.
	maxHandshakeBytes = 4 << 10
	// maxHandshakes limits the incoming connections that are not yet authenticated. 300 hosts may link to one hub at once.
	maxHandshakes = 320
	// nonceBytes is the length of a handshake nonce. At this length a random nonce
	// practically never repeats.
	nonceBytes = 32
	// maxArrayElements limits the elements of a decoded array and the pairs of a decoded
	// map.
	maxArrayElements = 1 << 16
	// maxNestedLevels limits the nesting depth of a decoded value.
	maxNestedLevels = 16
	// redundantLinkGrace is how long a link stays open when another link to the same host
	// is kept, so that the other end can complete the handshake of that one.
	redundantLinkGrace = defaultHandshakeTimeout
)

// Defaults of Options.
const (
	defaultQueueMessages     = 1024             // limits the memory that a stalled peer can occupy
	defaultWriteTimeout      = 5 * time.Second  // a peer that accepts no frame for this long is disconnected
	defaultReadTimeout       = 15 * time.Second // a peer that sends nothing for this long is disconnected
	defaultKeepaliveInterval = 5 * time.Second  // well below the read timeout, so that an idle link stays up
	defaultHandshakeTimeout  = 3 * time.Second  // applies to dial and handshake together
	defaultMinRedialDelay    = 200 * time.Millisecond
	defaultMaxRedialDelay    = 10 * time.Second // before jitter; short, so that a host that comes back is soon linked again
)
