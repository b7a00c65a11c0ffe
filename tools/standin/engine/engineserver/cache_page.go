package engineserver

// cachePage is the answer to a call for cache events.
type cachePage struct {
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}
