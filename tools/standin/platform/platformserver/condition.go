package platformserver

// condition makes a commit fail unless the row has the given version.
type condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}
