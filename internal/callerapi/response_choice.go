package callerapi

// answerChoice is the one choice of an answer given in one piece.
type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	FinishReason string         `json:"finish_reason"`
}
