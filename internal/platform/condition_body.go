package platform

// conditionBody is the JSON form of a core.Condition.
type conditionBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}
