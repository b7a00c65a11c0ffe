package message

// Kind identifies a message type on the wire. Numbers are never reused.
type Kind uint8

const (
	KindDemand        Kind = 1
	KindGrant         Kind = 2
	KindRefuse        Kind = 3
	KindClose         Kind = 4
	KindProgress      Kind = 5
	KindSummary       Kind = 6
	KindHeartbeat     Kind = 7
	KindConfigWanted  Kind = 8
	KindConfigBody    Kind = 9
	KindRelayWanted   Kind = 10
	KindRelayAnswer   Kind = 11
	KindTicketRevoked Kind = 12
	KindTicketCheck   Kind = 13
	KindTargetLoads   Kind = 14
	KindHubAsk        Kind = 15
	KindHubAnswer     Kind = 16
	KindHubKnowledge  Kind = 17
	KindHostWork      Kind = 18
	KindPlaceAsk      Kind = 19
	KindPlaceAnswer   Kind = 20
)
