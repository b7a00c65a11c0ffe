package message

// Kind identifies a message type on the wire. Numbers must never be reused.
type Kind uint8

const (
	KindTicketRequest     Kind = 1
	KindTicketGrant       Kind = 2
	KindTicketRefusal     Kind = 3
	KindTicketClosed      Kind = 4
	KindProgress          Kind = 5
	KindPoolCapacity      Kind = 6
	KindHeartbeat         Kind = 7
	KindConfigRequest     Kind = 8
	KindConfigBody        Kind = 9
	KindRelayRequest      Kind = 10
	KindRelayResponse     Kind = 11
	KindTicketRevoked     Kind = 12
	KindHeldTickets       Kind = 13
	KindTargetLoads       Kind = 14
	KindHubRequest        Kind = 15
	KindHubResponse       Kind = 16
	KindHubUpdate         Kind = 17
	KindHostLoad          Kind = 18
	KindPlacementRequest  Kind = 19
	KindPlacementResponse Kind = 20
	KindPartEvidence      Kind = 21
	KindTargetLimits      Kind = 22
)
