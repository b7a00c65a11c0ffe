package loadgen

// chunkBody is the JSON data of one event from a host: a token or an error.
type chunkBody struct {
	Choices []choiceBody `json:"choices"`
	Error   *refusalBody `json:"error"`
}
