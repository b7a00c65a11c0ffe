package platform

// conflictsBody is the JSON body of a conflict response: the keys that conflicted.
type conflictsBody struct {
	Conflicts []string `json:"conflicts"`
}
