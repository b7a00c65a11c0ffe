package engine

// CacheEvent reports one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Prefix   uint64         `json:"prefix,string"` // hash of the prompt's first 256 bytes
}
