package control

import (
	"time"

	"siskintide.example/siskintide/internal/message"
)

// ownerCapacity is the latest capacity that an owner reported for one pool.
type ownerCapacity struct {
	message    message.PoolCapacity
	receivedAt time.Time
}
