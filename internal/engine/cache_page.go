package engine

// CachePage is a batch of cache events. Events are delayed; a gap between their sequence
// numbers means that events were lost.
type CachePage struct {
	Next   uint64       `json:"next"` // value of after for the next call
	Events []CacheEvent `json:"events"`
}
