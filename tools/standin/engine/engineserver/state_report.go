package engineserver

// stateReport is the response body of GET /v1/state.
type stateReport struct {
	Incarnation string       `json:"incarnation"`
	Role        string       `json:"role"`
	Fence       uint64       `json:"fence"`
	Models      []modelEntry `json:"models"`
}
