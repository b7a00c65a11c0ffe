package engineserver

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Priority  int    `json:"priority"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"request_id"`
}
