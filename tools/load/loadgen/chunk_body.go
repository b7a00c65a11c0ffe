package loadgen

// chunkBody is the JSON data of one event from an entry host: a token or an error.
type chunkBody struct {
	Choices []choiceBody `json:"choices"`
	Error   *refusalBody `json:"error"`
}
