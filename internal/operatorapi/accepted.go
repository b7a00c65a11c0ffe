package operatorapi

import "siskintide.example/siskintide/internal/core"

// Accepted is an accepted configuration that an operator carries between hosts.
type Accepted struct {
	Revision core.Revision `json:"revision"`
	Body     []byte        `json:"body"` // as package configbody encodes it
	Seal     string        `json:"seal"`
}
