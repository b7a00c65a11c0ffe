package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/decide/carry"
)

// moveResult is how a move of a generation's memory ended.
type moveResult struct {
	result carry.Result
	handle Handle
	took   time.Duration
}
