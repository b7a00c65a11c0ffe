package engine

// errorBody is the encoded form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}
