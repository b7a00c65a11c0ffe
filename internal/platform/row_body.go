package platform

import "siskintide.example/siskintide/internal/core"

// rowBody is the JSON form of a core.Row.
type rowBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// row converts the JSON form to a core.Row.
func (b rowBody) row() core.Row {
	return core.Row{Key: b.Key, Version: b.Version, Value: b.Value}
}
