package engine

// choiceBody is the encoded form of a frame's token.
type choiceBody struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}
