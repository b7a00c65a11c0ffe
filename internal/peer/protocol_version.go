package peer

// ProtocolVersion is the version of the frame format and the handshake. Hosts with
// different versions cannot link.
const ProtocolVersion = 4
