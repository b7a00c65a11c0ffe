package control

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/decide/weights"
	"siskintide.example/siskintide/internal/message"
)

// Effects carries out the side effects of decisions. No method blocks: work that takes time
// runs on other goroutines, and its result comes back as an Event.
type Effects interface {
	// Send queues a message for a peer. It returns false if there is no link or its queue
	// is full.
	Send(to core.HostID, m message.Message) bool
	// SetPeers sets the hosts to keep links with.
	SetPeers(hosts []core.Host)
	// ReadRows reads ownership rows. The result goes to HandleOwnershipRows.
	ReadRows(effect ownership.ReadRows)
	// CommitRows commits ownership rows. The result goes to HandleOwnershipCommit, or to
	// HandleCommitUnavailable if the platform was not reached.
	CommitRows(effect ownership.CommitRows)
	// ReadConfigHead reads the configuration's head. The result goes to HandleConfigHead.
	ReadConfigHead()
	// FetchConfigBody fetches the configuration of a head. The result goes to
	// HandleConfigBody.
	FetchConfigBody(head revision.Head)
	// SendConfig encodes a configuration and sends it to a peer.
	SendConfig(to core.HostID, config *core.Config)
	// Poll reads a target's load. The result goes to HandleLoad or HandleLoadFailed.
	Poll(target core.Target, last core.LoadReport)
	// Cancel asks an engine to stop a generation. A failure is not reported: a stream
	// that still runs shows in the next load report.
	Cancel(address string, generation core.GenerationID)
	// ReadEngine reads an engine's state. The result goes to HandleEngineState.
	ReadEngine(target core.Target, fence core.Fence, id uint64)
	// SendOrder sends an order to an engine, unless its deadline has passed. There is no
	// result: the effect shows when the engine's state is read.
	SendOrder(target core.Target, order orders.SendOrder)
	// AcquireLoadSlot acquires the data centre's load slot. The result goes to
	// HandleLoadSlot.
	AcquireLoadSlot(claim weights.Claim)
	// ReleaseLoadSlot releases the data centre's load slot if the claimant holds it. The
	// result goes to HandleLoadSlotReleased.
	ReleaseLoadSlot(claim weights.Claim)
	// RelayCommit commits a transaction for another host and sends it the result.
	RelayCommit(from core.HostID, id uint64, transaction core.Transaction)
}
