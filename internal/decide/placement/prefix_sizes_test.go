package placement

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// Guards against callers that name parts larger than their prompts, and so drop from the estimate what the engine has of
// other prompts.
func TestPartsBeyondThePromptTakeNoRoom(t *testing.T) {
	c := Candidate{Target: "x", DataCentre: "a", Slots: 24, Memory: 26_900}
	honest := Request{ID: "r", DataCentre: "a", Memory: 3_300, Prompt: 3_000, Prefix: []core.PrefixPart{{Key: 1, Tokens: 3_000}}}
	for name, parts := range map[string][]core.PrefixPart{
		"first part": {{Key: 2, Tokens: 1_000_000}},
		"last part":  {{Key: 2, Tokens: 90}, {Key: 3, Tokens: math.MaxInt64}},
		"all parts":  {{Key: 2, Tokens: 9_000}, {Key: 3, Tokens: 9_000}, {Key: 4, Tokens: 9_000}},
	} {
		b := NewBalancer()
		b.RecordPrefix(c, honest, 0)
		b.RecordPrefix(c, Request{ID: "s", Memory: 400, Prompt: 100, Prefix: parts}, 0)
		choice, ok := b.Choose([]Candidate{c}, honest, 0)
		require.True(t, ok)
		require.Equal(t, core.Tokens(3_000), choice.ExpectedCached, name)
		choice, ok = b.Choose([]Candidate{c}, Request{ID: "s", Memory: 400, Prompt: 100, Prefix: parts}, 0)
		require.True(t, ok)
		require.Equal(t, core.Tokens(100), choice.ExpectedCached, "%s: what fits into the prompt is known", name)
	}
}
