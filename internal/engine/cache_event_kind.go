package engine

// CacheEventKind is the kind of a change of an engine's prefix cache.
type CacheEventKind string

const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheFlushed CacheEventKind = "flushed" // all prefixes were evicted
)
