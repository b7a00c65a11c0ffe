package platformserver

// transaction is the body of POST /table/commit.
type transaction struct {
	Conditions []condition `json:"conditions"`
	Writes     []write     `json:"writes"`
}
