package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// prefixCodec is a Codec that decodes one prefix from any header.
type prefixCodec struct {
	Codec
	prefix Prefix
	calls  int
}

func (c *prefixCodec) DecodePrefix(http.Header) Prefix {
	c.calls++
	return c.prefix
}

// Guards against prefixes sent for pools that do not weigh them, and against equal keys for what engines cache apart.
func TestPrefixOfRequest(t *testing.T) {
	codec := &prefixCodec{prefix: Prefix{Model: "m", Parts: []PrefixPart{{"a", 350}, {"b", 2200}, {"c", 0}, {"d", 9}}}}
	h := &requestHandler{gateway: &Gateway{options: Options{Codec: codec}}, r: &http.Request{}, pool: "p", spec: &core.PoolSpec{}}
	require.Nil(t, h.prefix())
	h.spec = nil
	require.Nil(t, h.prefix())
	require.Zero(t, codec.calls, "costs nothing")

	h.spec = &core.PoolSpec{WeighPrefixes: true}
	parts := h.prefix()
	require.Len(t, parts, 2, "nothing after a part of unknown size is known to be cached")
	require.Equal(t, core.Tokens(350), parts[0].Tokens)
	require.Equal(t, core.Tokens(2200), parts[1].Tokens)
	require.Equal(t, parts, h.prefix())
	seen := map[core.PromptPart]bool{parts[0].Key: true, parts[1].Key: true}
	codec.prefix.Model = "other"
	seen[h.prefix()[0].Key] = true
	h.pool = "other"
	seen[h.prefix()[0].Key] = true
	require.Len(t, seen, 4)
}
