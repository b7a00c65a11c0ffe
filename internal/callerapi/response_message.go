package callerapi

// responseMessage is the assistant's message in a non-streaming chat response.
type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
