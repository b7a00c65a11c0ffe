package gateway

import (
	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// prefix returns the parts of the prompt by which engines cache it, or nil if the pool does not weigh prefixes.
func (h *requestHandler) prefix() []core.PrefixPart {
	if h.spec == nil || !h.spec.WeighPrefixes {
		return nil
	}
	prefix := h.gateway.options.Codec.DecodePrefix(h.r.Header)
	parts := make([]core.PrefixPart, 0, len(prefix.Parts))
	for _, part := range prefix.Parts {
		if part.Tokens == 0 {
			break // later parts are not cached without this one
		}
		key := xxhash.Sum64String(string(h.pool) + "\x00" + prefix.Model + "\x00" + part.ID)
		parts = append(parts, core.PrefixPart{Key: core.PromptPart(key), Tokens: part.Tokens})
	}
	return parts
}
