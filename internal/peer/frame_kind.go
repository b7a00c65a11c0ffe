package peer

// Kinds of the link itself. They lie above the range of message.Kind.
const (
	kindHello     uint64 = 256 // opens the handshake, and answers it
	kindConfirm   uint64 = 257 // ends the handshake
	kindKeepalive uint64 = 258 // shows that an idle sender is alive
	kindBye       uint64 = 259 // the sender writes nothing more on this link
)

// maxMessageKind is the largest number that message.Kind holds.
const maxMessageKind = 255
