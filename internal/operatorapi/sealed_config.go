package operatorapi

import "siskintide.example/siskintide/internal/core"

// SealedConfig is an accepted configuration that an operator copies between hosts.
type SealedConfig struct {
	Revision core.Revision `json:"revision"`
	Body     []byte        `json:"body"` // as encoded by package configcodec
	Seal     string        `json:"seal"`
}
