package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

func TestEventIDs(t *testing.T) {
	key := []byte("0123456789abcdef")
	id := EventID{Generation: core.GenerationID{1, 2}, Target: "t1", Incarnation: "i-1", Seed: 9, RequestHash: 8, Sequence: 7, Digest: 6, Final: true, Chat: true}
	encoder := NewEventIDEncoder(key, "team")
	text := string(encoder.Append(nil, id))
	got, err := DecodeEventID(key, "team", text)
	require.NoError(t, err)
	require.Equal(t, id, got)
	_, err = DecodeEventID(key, "other", text)
	require.Error(t, err)
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		other := rapid.SampledFrom([]byte("abcXYZ019-_.")).Draw(t, "byte")
		changed := text[:i] + string(other) + text[i+1:]
		_, err := DecodeEventID(key, "team", changed)
		require.Equal(t, changed == text, err == nil)
		_, err = DecodeEventID(key, "team", rapid.String().Draw(t, "any"))
		require.Error(t, err)
	})
}
