package core

// Team declares one customer.
type Team struct {
	ID         TeamID   `json:"id"`
	KeySHA256  []string `json:"key_sha256"` // hexadecimal digests of the team's API keys
	Weight     int      `json:"weight"`     // share of capacity relative to other teams
	Class      Class    `json:"class"`      // default class of the team's requests
	MaxStreams int      `json:"max_streams,omitempty"`
}
