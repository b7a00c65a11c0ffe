package loadgen

// choiceBody is the only element of an event's choices: one token.
type choiceBody struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}
