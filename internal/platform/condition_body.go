package platform

// conditionBody is the encoded form of a condition.
type conditionBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}
