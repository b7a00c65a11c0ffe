// Package peer links entry hosts with each other by WebSocket and CBOR. A link starts
// with a handshake in which both hosts prove that they hold the shared key; until then
// a remote host changes nothing. After the handshake each frame is the CBOR array
// [kind, body]. Frames are authenticated by the handshake only: the network between the
// hosts must keep others from writing into an established connection.
//
// One goroutine, Node.Run, owns the table of links. Each link has one goroutine that
// reads and one that writes. Delivery is at most once: a message that was queued may be
// lost when its link ends, and the sender settles that by its own means.
package peer
