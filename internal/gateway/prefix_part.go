package gateway

import "siskintide.example/siskintide/internal/core"

// PrefixPart is one part of a prompt as the caller names it.
type PrefixPart struct {
	ID     string
	Tokens core.Tokens // zero if it is not known
}
