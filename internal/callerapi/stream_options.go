package callerapi

// streamOptions asks for more in a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}
