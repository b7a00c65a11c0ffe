package engineserver

import "time"

// cacheEvent reports one change of the prefix cache.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   uint64 `json:"prefix,string"`
	at       time.Time
}
