package control

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/decide/weights"
	"siskintide.example/siskintide/internal/message"
)

// Effects carries out the effects that decisions ask for. No method waits: work that takes
// time runs on other goroutines, and its answer comes back as an Event.
type Effects interface {
	// Send queues a message for a peer and reports whether there was a link with room.
	Send(to core.HostID, m message.Message) bool
	// SetPeers sets the hosts to stay linked with.
	SetPeers(hosts []core.Host)
	// ReadRows answers with HandleRows.
	ReadRows(effect ownership.ReadRows)
	// CommitRows answers with HandleCommit, or with HandleUnavailable.
	CommitRows(effect ownership.CommitRows)
	// ReadConfigHead answers with HandleHead.
	ReadConfigHead()
	// FetchConfigBody answers with HandleBody.
	FetchConfigBody(head revision.Head)
	// SendConfig encodes a whole configuration and sends it to a peer.
	SendConfig(to core.HostID, config *core.Config)
	// Poll asks a target for its load and answers with HandleLoad or HandleLoadFailed.
	Poll(target core.Target, last core.LoadReport)
	// Cancel asks an engine to stop a generation; a failure is left to the next load report.
	Cancel(address string, generation core.GenerationID)
	// ReadEngine reads an engine's state and answers with HandleEngineState.
	ReadEngine(target core.Target, fence core.Fence, id uint64)
	// SendOrder gives an order to an engine unless it is late. Its effect is read back.
	SendOrder(target core.Target, order orders.SendOrder)
	// AcquireLoadSlot answers with HandleSlot.
	AcquireLoadSlot(claim weights.Claim)
	// ReleaseLoadSlot frees the data centre's slot if the claimant holds it, and answers with
	// HandleSlotFreed.
	ReleaseLoadSlot(claim weights.Claim)
	// RelayCommit carries out another host's transaction and sends the answer to it.
	RelayCommit(from core.HostID, id uint64, transaction core.Transaction)
}
