package engineserver

// cachePage is the response body of GET /v1/cache.
type cachePage struct {
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}
