package callerapi

// chatMessage is one message of a chat request.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}
