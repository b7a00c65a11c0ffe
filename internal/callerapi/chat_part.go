package callerapi

// chatPart is one part of a message's content.
type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}
