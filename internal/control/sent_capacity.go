package control

import (
	"time"

	"siskintide.example/siskintide/internal/message"
)

// sentCapacity is the last capacity of one pool that this host sent to its peers.
type sentCapacity struct {
	message message.PoolCapacity
	sentAt  time.Time
}
