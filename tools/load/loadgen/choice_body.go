package loadgen

// choiceBody is the token of an event.
type choiceBody struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}
