package peer

import "time"

const (
	// maxFrameBytes bounds the memory that one frame can take. A whole configuration at
	// the planned size is below 1 MiB.
	maxFrameBytes = 4 << 20
	// maxHandshakeBytes bounds a frame of a host that has not yet proved its key.
	maxHandshakeBytes = 4 << 10
	// maxHandshakes bounds the connections that have not yet proved their key.
	maxHandshakes = 64
	// nonceBytes is the length of a handshake nonce; it makes a repeat improbable.
	nonceBytes = 32
	// maxArrayElements bounds the elements that one decoded array or map may announce.
	maxArrayElements = 1 << 16
	// maxNestedLevels bounds the nesting of a decoded value.
	maxNestedLevels = 16
	// replacedGrace lets the other end finish its handshake of the link that stays.
	replacedGrace = defaultHandshakeTimeout
)

// Defaults of Options.
const (
	defaultQueueMessages    = 1024             // bounds the memory that a stalled peer can hold
	defaultWriteTimeout     = 5 * time.Second  // a peer that takes no frame for this long is cut
	defaultReadTimeout      = 15 * time.Second // a peer that sends nothing for this long is cut
	defaultKeepaliveEvery   = 5 * time.Second  // keeps an idle link below the read timeout
	defaultHandshakeTimeout = 3 * time.Second  // bounds dial and handshake together
	defaultRedialFirst      = 200 * time.Millisecond
	defaultRedialMax        = 10 * time.Second // a returning host is found again within this time
)
