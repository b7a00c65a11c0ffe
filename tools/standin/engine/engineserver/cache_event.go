package engineserver

import "time"

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   uint64 `json:"prefix,string"`
	at       time.Time
}
