package platform

// writeBody is the JSON form of a core.Write. A null value deletes the row.
type writeBody struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}
