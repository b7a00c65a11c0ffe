package platformserver

// condition requires a row's version at the time of a commit.
type condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}
