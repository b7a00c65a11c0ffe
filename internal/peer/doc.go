// Package peer connects hosts to each other over WebSocket, with messages encoded
// in CBOR. A link starts with a handshake in which both hosts prove that they hold the
// shared key. Until the handshake succeeds, a remote host cannot change any state. After
// it, each frame is the CBOR array [kind, body]. Frames are not authenticated one by one:
// the network between the hosts must prevent third parties from injecting data into an
// established connection.
//
// One goroutine, Node.Run, owns the table of links. Each link has one reading and one
// writing goroutine. Delivery is at most once: a queued message may be lost when its link
// ends, and the sender is responsible for detecting and handling that.
package peer
