package platform

// writeBody is the encoded form of a write; a null value deletes the row.
type writeBody struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}
