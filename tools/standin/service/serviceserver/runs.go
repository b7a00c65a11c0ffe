package serviceserver

// Runs counts the calls that ran. It is the response body of GET /stand-in/runs.
type Runs struct {
	Total       int            `json:"total"`
	ByKey       map[string]int `json:"by_key"`
	Crashes     int            `json:"crashes"` // crashes of a cold process with more than Options.ColdCalls calls
	Incarnation string         `json:"incarnation"`
}
