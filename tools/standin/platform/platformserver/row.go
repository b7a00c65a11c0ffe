package platformserver

// row is one row in memory and on the wire.
type row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}
