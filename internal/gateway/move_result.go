package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/decide/failover"
)

// moveResult is the result of moving a generation's KV cache.
type moveResult struct {
	result failover.Result
	handle KVHandle
	took   time.Duration
}
