package control

import (
	"time"

	"siskintide.example/siskintide/internal/message"
)

// announced is the last summary that this host sent to its peers for one pool.
type announced struct {
	message message.PoolCapacity
	sentAt  time.Time
}
