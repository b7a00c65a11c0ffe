package callerapi

import "siskintide.example/siskintide/internal/core"

// modelEntry is one element of modelList.
type modelEntry struct {
	ID      core.ModelID `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	OwnedBy string       `json:"owned_by"`
}
