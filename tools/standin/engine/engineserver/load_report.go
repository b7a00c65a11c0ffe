package engineserver

import "time"

// loadReport is the response body of GET /v1/load.
type loadReport struct {
	Incarnation string       `json:"incarnation"`
	AgeMS       int64        `json:"age_ms"`
	Streams     []loadStream `json:"streams"`
	MemoryUsed  int          `json:"memory_used"`
	MemoryTotal int          `json:"memory_total"`
	Preemptions uint64       `json:"preemptions"`
	CacheFlush  uint64       `json:"cache_flush"`
	Leaving     bool         `json:"leaving"`
	at          time.Time
}
