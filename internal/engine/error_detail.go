package engine

// errorDetail is the inner object of a refusal.
type errorDetail struct {
	Type string `json:"type"`
}
