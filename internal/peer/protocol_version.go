package peer

// ProtocolVersion numbers the frames and the handshake. Hosts of different versions do
// not link.
const ProtocolVersion = 1
