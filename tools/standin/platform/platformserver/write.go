package platformserver

// write sets a row; a nil value deletes it.
type write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}
