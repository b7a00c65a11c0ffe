package callerapi

// streamOptions selects optional events of a streamed response.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}
