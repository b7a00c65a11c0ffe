package loadgen

// refusalBody is the error object with which a host refuses or ends a request.
type refusalBody struct {
	Type string `json:"type"`
	Run  string `json:"run"`
}
