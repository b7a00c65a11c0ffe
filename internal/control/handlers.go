package control

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/message"
)

// HandleMessage takes a message from an authenticated peer.
func (l *Loop) HandleMessage(from core.HostID, m message.Message) {
	l.Post(peerEvent{from: from, message: m})
}

// HandleLink takes the news that the link to a peer came up or was lost.
func (l *Loop) HandleLink(host core.HostID, up bool) { l.Post(linkEvent{host: host, up: up}) }

// HandleHosts takes the platform's list of hosts.
func (l *Loop) HandleHosts(hosts []core.Host) { l.Post(hostListEvent{hosts: hosts}) }

// HandleLoad takes a target's answer to a poll.
func (l *Loop) HandleLoad(report core.LoadReport) {
	l.Post(loadEvent{target: report.Target, report: &report})
}

// HandleLoadFailed takes the news that a target did not answer a poll.
func (l *Loop) HandleLoadFailed(target core.TargetID) { l.Post(loadEvent{target: target}) }

// HandleEngineState takes the answer to a read of an engine's state.
func (l *Loop) HandleEngineState(target core.TargetID, fence core.Fence, read orders.StateResponse) {
	l.Post(engineStateEvent{target: target, fence: fence, read: read})
}

// HandleLoadSlot takes the answer to a demand for the data centre's slot.
func (l *Loop) HandleLoadSlot(target core.TargetID, fence core.Fence, granted bool) {
	l.Post(slotEvent{target: target, fence: fence, granted: granted})
}

// HandleLoadSlotReleased takes the answer to an attempt to free the data centre's slot.
func (l *Loop) HandleLoadSlotReleased(target core.TargetID, fence core.Fence, ok bool) {
	l.Post(slotFreedEvent{target: target, fence: fence, ok: ok})
}

// HandleOwnershipRows takes the answer to a read of ownership rows.
func (l *Loop) HandleOwnershipRows(answer ownership.ReadResponse) { l.Post(rowsEvent{answer: answer}) }

// HandleOwnershipCommit takes the answer to a commit of ownership rows.
func (l *Loop) HandleOwnershipCommit(answer ownership.CommitResponse) {
	l.Post(commitEvent{answer: answer})
}

// HandleCommitUnavailable takes the news that the platform was not reached for a commit of
// ownership rows, which certainly did not take effect.
func (l *Loop) HandleCommitUnavailable(id uint64, transaction core.Transaction) {
	l.Post(unavailableEvent{id: id, transaction: transaction})
}

// HandleConfigHead takes the answer to a read of the configuration's head.
func (l *Loop) HandleConfigHead(read revision.HeadRead) { l.Post(headEvent{read: read}) }

// HandleConfigBody takes the answer to a fetch of a configuration.
func (l *Loop) HandleConfigBody(fetched revision.BodyFetched) { l.Post(bodyEvent{fetched: fetched}) }

// OfferConfig takes an authentic accepted configuration from a peer or an operator.
func (l *Loop) OfferConfig(config *core.Config) { l.Post(offerEvent{config: config}) }

// HandlePlatform takes the news whether the last call to the platform reached it.
func (l *Loop) HandlePlatform(reached bool) { l.Post(platformEvent{reached: reached}) }

// Leave starts a graceful shutdown: no new callers are taken and owned targets are handed
// over, while running requests go on.
func (l *Loop) Leave() { l.Post(leaveEvent{}) }
