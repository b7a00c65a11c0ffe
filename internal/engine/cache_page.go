package engine

// CachePage is a batch of cache events. Events come late, and numbers that are missing
// between them stand for events that were lost.
type CachePage struct {
	Next   uint64       `json:"next"` // value of after for the next call
	Events []CacheEvent `json:"events"`
}
