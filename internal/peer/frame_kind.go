package peer

// Frame kinds of the link protocol itself. They are above the range of message.Kind.
const (
	kindHello     uint64 = 256 // the first frame of each end in the handshake
	kindConfirm   uint64 = 257 // the dialer's proof, which completes the handshake
	kindKeepalive uint64 = 258 // sent periodically, so that the peer's read timeout does not expire
	kindClose     uint64 = 259 // the sender writes no more frames on this link
)

// maxMessageKind is the largest value of message.Kind.
const maxMessageKind = 255
