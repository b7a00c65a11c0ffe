package operatorapi

import "siskintide.example/siskintide/internal/core"

// SealedConfig is an accepted configuration that an operator carries between hosts.
type SealedConfig struct {
	Revision core.Revision `json:"revision"`
	Body     []byte        `json:"body"` // as package configbody encodes it
	Seal     string        `json:"seal"`
}
