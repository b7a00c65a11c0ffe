package callerapi

// errorBody is the body of a refused request.
type errorBody struct {
	Error errorDetail `json:"error"`
}
