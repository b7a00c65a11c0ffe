package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func readAll(body io.Reader) (events []streamEvent, err error) {
	reader := newEventReader(body, &bufferBudget{})
	for {
		event, err := reader.next()
		if len(event.bytes) > 0 {
			events = append(events, event)
		}
		if err != nil {
			return events, err
		}
	}
}

func TestEventReader(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []streamEvent
	}{
		"nothing":          {"", nil},
		"id and data":      {"id: 7\ndata: x\n\n", []streamEvent{{[]byte("id: 7\ndata: x\n\n"), 7, true, false, true}}},
		"carriage returns": {"id:8\r\ndata: x\r\n\r\n", []streamEvent{{[]byte("id:8\r\ndata: x\r\n\r\n"), 8, true, false, true}}},
		"no id":            {"data: x\n\n", []streamEvent{{[]byte("data: x\n\n"), 0, false, false, true}}},
		"id is no number":  {"id: x\n\n", []streamEvent{{[]byte("id: x\n\n"), 0, false, false, false}}},
		"rest at the end":  {"id: 1\n\ndata", []streamEvent{{[]byte("id: 1\n\n"), 1, true, false, false}, {[]byte("data"), 0, false, true, false}}},
		"comment":          {": x\n\n", []streamEvent{{[]byte(": x\n\n"), 0, false, true, false}}},
		"comment and data": {": x\ndata: y\n\n", []streamEvent{{[]byte(": x\ndata: y\n\n"), 0, false, false, true}}},
	} {
		t.Run(name, func(t *testing.T) {
			events, err := readAll(strings.NewReader(c.text))
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, c.want, events)
		})
	}
}

// The events together are the bytes of the stream even if each read returns one byte, and
// an event that a read error cuts off is not returned.
func TestEventReaderKeepsEveryByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("id: 12\n\r\ndatx\n\n"))).Draw(t, "text")
		events, err := readAll(iotest.OneByteReader(strings.NewReader(text)))
		require.ErrorIs(t, err, io.EOF)
		got := ""
		for _, event := range events {
			got += string(event.bytes)
		}
		require.Equal(t, text, got)

		cause := errors.New("reset")
		events, err = readAll(io.MultiReader(strings.NewReader(text), iotest.ErrReader(cause)))
		require.ErrorIs(t, err, cause)
		for _, event := range events {
			require.True(t, strings.HasSuffix(strings.ReplaceAll(string(event.bytes), "\r", ""), "\n"))
		}
	})
}

func TestEventTooLarge(t *testing.T) {
	_, err := readAll(strings.NewReader(strings.Repeat("x", maxEventBytes+1)))
	var large *TooLargeError
	require.ErrorAs(t, err, &large)
}

// TestRestOfAStream guards against a stream that ends within an event and counts as complete, and against a
// complete one that counts as cut off because of a comment after its last event.
func TestRestOfAStream(t *testing.T) {
	for rest, want := range map[string]bool{
		"":                 false,
		": x\n":            false,
		": x\n: y\r\n":     false,
		": x":              true,
		"i":                true,
		"id: 1":            true,
		"id: 1\n":          true,
		"id: 1\ndata: x\n": true,
		": x\nid: 1\n":     true,
		": x\ndata":        true,
		"id: 1\r\n\r":      true,
	} {
		reader := newEventReader(strings.NewReader("id: 0\ndata: a\n\n"+rest), &bufferBudget{})
		_, err := reader.next()
		require.NoError(t, err)
		event, err := reader.next()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, want, event.startsEvent(), "%q", rest)
	}
}
