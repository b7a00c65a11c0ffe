package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// Guards against prefixes sent for pools that do not weigh them, and against equal keys for what engines cache apart.
func TestPrefixOfRequest(t *testing.T) {
	h := &requestHandler{pool: "p", spec: &core.PoolSpec{}, request: Request{Model: "m", Prefix: []PrefixPart{{"a", 350}, {"b", 2200}, {"c", 0}, {"d", 9}}}}
	require.Nil(t, h.prefix())
	h.spec = nil
	require.Nil(t, h.prefix())

	h.spec = &core.PoolSpec{WeighPrefixes: true}
	parts := h.prefix()
	require.Len(t, parts, 2, "nothing after a part of unknown size is known to be cached")
	require.Equal(t, core.Tokens(350), parts[0].Tokens)
	require.Equal(t, core.Tokens(2200), parts[1].Tokens)
	require.Equal(t, parts, h.prefix())
	seen := map[core.PromptPart]bool{parts[0].Key: true, parts[1].Key: true}
	h.request.Model = "other"
	seen[h.prefix()[0].Key] = true
	h.pool = "other"
	seen[h.prefix()[0].Key] = true
	require.Len(t, seen, 4)
}
