package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/decide/failover"
)

// moveResult is how a move of a generation's memory ended.
type moveResult struct {
	result failover.Result
	handle KVHandle
	took   time.Duration
}
