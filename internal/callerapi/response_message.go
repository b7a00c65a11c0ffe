package callerapi

// answerMessage is the assistant's message in a chat answer.
type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
