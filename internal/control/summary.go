package control

import (
	"time"

	"siskintide.example/siskintide/internal/message"
)

// summary is what an owner last told about one pool.
type summary struct {
	message message.PoolCapacity
	heardAt time.Time
}
