package platformserver

// transaction is the body of a commit.
type transaction struct {
	Conditions []condition `json:"conditions"`
	Writes     []write     `json:"writes"`
}
