package platform

// conflictsBody is the encoded form of a conflict.
type conflictsBody struct {
	Conflicts []string `json:"conflicts"`
}
