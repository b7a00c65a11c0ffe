package platform

import "siskintide.example/siskintide/internal/core"

// rowBody is the encoded form of a row.
type rowBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// row converts the encoded form.
func (b rowBody) row() core.Row {
	return core.Row{Key: b.Key, Version: b.Version, Value: b.Value}
}
