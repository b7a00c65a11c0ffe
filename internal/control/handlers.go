package control

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/message"
)

// HandleMessage handles a message from an authenticated peer.
func (l *Loop) HandleMessage(from core.HostID, m message.Message) {
	l.Post(peerEvent{from: from, message: m})
}

// HandleLink records that the link to a peer came up or was lost.
func (l *Loop) HandleLink(host core.HostID, up bool) { l.Post(linkEvent{host: host, up: up}) }

// HandleHosts handles a new list of hosts from the platform.
func (l *Loop) HandleHosts(hosts []core.Host) { l.Post(hostListEvent{hosts: hosts}) }

// HandleLoad handles the result of a load poll.
func (l *Loop) HandleLoad(report core.LoadReport) {
	l.Post(loadEvent{target: report.Target, report: &report})
}

// HandleLoadFailed records that a load poll failed.
func (l *Loop) HandleLoadFailed(target core.TargetID) { l.Post(loadEvent{target: target}) }

// HandleEngineState handles the result of reading an engine's state.
func (l *Loop) HandleEngineState(target core.TargetID, fence core.Fence, response orders.StateResponse) {
	l.Post(engineStateEvent{target: target, fence: fence, response: response})
}

// HandleLoadSlot handles the result of acquiring the data centre's load slot.
func (l *Loop) HandleLoadSlot(target core.TargetID, fence core.Fence, granted bool) {
	l.Post(loadSlotEvent{target: target, fence: fence, granted: granted})
}

// HandleLoadSlotReleased handles the result of releasing the data centre's load slot.
func (l *Loop) HandleLoadSlotReleased(target core.TargetID, fence core.Fence, ok bool) {
	l.Post(loadSlotReleasedEvent{target: target, fence: fence, ok: ok})
}

// HandleOwnershipRows handles the result of a read of ownership rows.
func (l *Loop) HandleOwnershipRows(response ownership.ReadResponse) {
	l.Post(ownershipRowsEvent{response: response})
}

// HandleOwnershipCommit handles the result of a commit of ownership rows.
func (l *Loop) HandleOwnershipCommit(response ownership.CommitResponse) {
	l.Post(ownershipCommitEvent{response: response})
}

// HandleCommitUnavailable handles a commit of ownership rows for which the platform was not
// reached, so that it certainly did not take effect.
func (l *Loop) HandleCommitUnavailable(id uint64, transaction core.Transaction) {
	l.Post(commitUnavailableEvent{id: id, transaction: transaction})
}

// HandleConfigHead handles the result of a read of the configuration's head.
func (l *Loop) HandleConfigHead(read revision.HeadRead) { l.Post(configHeadEvent{read: read}) }

// HandleConfigBody handles the result of fetching the body of a configuration.
func (l *Loop) HandleConfigBody(fetched revision.BodyFetched) {
	l.Post(configBodyEvent{fetched: fetched})
}

// OfferConfig handles an accepted configuration from an authenticated peer or operator.
func (l *Loop) OfferConfig(config *core.Config) { l.Post(offerConfigEvent{config: config}) }

// HandlePlatform records whether the last call to the platform reached it.
func (l *Loop) HandlePlatform(reached bool) { l.Post(platformEvent{reached: reached}) }

// Leave starts a graceful shutdown: the host takes no new callers and hands its targets
// over, while running requests continue.
func (l *Loop) Leave() { l.Post(leaveEvent{}) }
