package serviceserver

// Runs says how often calls ran; GET /stand-in/runs gives it.
type Runs struct {
	Total       int            `json:"total"`
	ByKey       map[string]int `json:"by_key"`
	Crashes     int            `json:"crashes"` // losses of a cold process under too many calls
	Incarnation string         `json:"incarnation"`
}
