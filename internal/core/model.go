package core

// Model declares a model that callers may request.
type Model struct {
	ID           ModelID      `json:"id"`
	Version      ModelVersion `json:"version"` // version that serves callers
	WeightBytes  int64        `json:"weight_bytes"`
	MaxTokens    Tokens       `json:"max_tokens"` // longest output
	QueueMS      int64        `json:"queue_ms"`   // longest wait for a ticket
	QueueEntries int          `json:"queue_entries"`
}
