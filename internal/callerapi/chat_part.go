package callerapi

// chatPart is one part of the content of a message.
type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}
