package loadgen

// chunkBody is the data of one event from an entry host: a token, or a refusal.
type chunkBody struct {
	Choices []choiceBody `json:"choices"`
	Error   *refusalBody `json:"error"`
}
