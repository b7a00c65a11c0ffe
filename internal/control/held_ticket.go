package control

import (
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
)

// heldTicket is a ticket held by a local caller's request.
type heldTicket struct {
	ticket   core.Ticket
	output   *atomic.Int64 // nil until the request is tracked
	reported core.Tokens   // output already reported to the owner
	revoked  chan struct{} // closed at most once
	closed   bool          // revoked has been closed
}
