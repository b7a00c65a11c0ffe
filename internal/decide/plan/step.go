package plan

// Step is one change of the configuration.
type Step struct {
	Action Action `json:"action"`
	Object string `json:"object"`          // such as "target" or "data centre"
	ID     string `json:"id"`              // identifier of the object
	Field  string `json:"field,omitempty"` // changed key; empty for added and removed objects
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}
