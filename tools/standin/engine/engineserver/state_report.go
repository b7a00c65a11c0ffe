package engineserver

// stateReport is the engine's account of its role and models.
type stateReport struct {
	Incarnation string       `json:"incarnation"`
	Role        string       `json:"role"`
	Fence       uint64       `json:"fence"`
	Models      []modelEntry `json:"models"`
}
