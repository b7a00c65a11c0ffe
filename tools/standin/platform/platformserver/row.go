package platformserver

// row is one row of the table, in memory and in JSON.
type row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}
