package loadgen

// refusalBody is a refusal by an entry host.
type refusalBody struct {
	Type string `json:"type"`
	Run  string `json:"run"`
}
