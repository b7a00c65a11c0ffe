package control

import (
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
)

// held is a ticket that a local caller's request runs under.
type held struct {
	ticket   core.Ticket
	output   *atomic.Int64 // nil until the request is tracked
	reported core.Tokens   // output already reported to the owner
	revoked  chan struct{} // closed at most once
	closed   bool          // revoked has been closed
}
