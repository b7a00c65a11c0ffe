package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/message"
)

// subscriber is the state that a hub keeps for one host that it sends updates to.
type subscriber struct {
	subscription uint64 // number of its subscription
	sent         uint64 // number of the last update sent
	lost         bool   // the next update must be a first one: none was sent, or a later one was lost

	lacksEvidence bool // evidence on prompt parts has not been sent
	lacksLimits   bool // limits of targets have not been sent

	request         message.HubRequest // latest
	requestedAt     time.Duration
	responsePending bool // the response to the latest request has not been sent
}
