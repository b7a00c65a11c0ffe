package engine

// CacheEventKind names what happened to a cached prompt prefix.
type CacheEventKind string

const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheFlushed CacheEventKind = "flushed" // every prefix is gone
)
