package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

const testGeneration = "000102030405060708090a0b0c0d0e0f"

func readAll(s *Stream) ([]Frame, error) {
	var frames []Frame
	for {
		frame, err := s.Next()
		if err != nil {
			return frames, err
		}
		frames = append(frames, frame)
	}
}

func streamOf(text string) *Stream {
	generation, err := core.ParseGenerationID(testGeneration)
	if err != nil {
		panic(err)
	}
	return newStream(generation, "e-1", io.NopCloser(strings.NewReader(text)))
}

func event(sequence int, text, reason string) string {
	const layout = "id: %d\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":%s,\"finish_reason\":%s}],\"sequence\":%d}\n\n"
	return fmt.Sprintf(layout, sequence, testGeneration, text, reason, sequence)
}

func TestStream(t *testing.T) {
	s := streamOf(event(1, `" the"`, "null") + ": comment\n" + event(2, `"\n\u00f8"`, "null") + event(3, `" Bø"`, `"stop"`) + "data: [DONE]\n\n")
	frames, err := readAll(s)
	require.Equal(t, io.EOF, err)
	generation := s.generation
	require.Equal(t, []Frame{
		{Generation: generation, Sequence: 1, Text: " the"},
		{Generation: generation, Sequence: 2, Text: "\nø"},
		{Generation: generation, Sequence: 3, Text: " Bø", FinishReason: "stop"},
	}, frames)
	_, err = s.Next()
	require.Equal(t, io.EOF, err)
}

func TestStreamWithLongLines(t *testing.T) {
	longText := strings.Repeat("ab", 2*lineBufferBytes)
	s := streamOf(event(1, `"a"`, "null") + event(2, `"`+longText+`"`, "null") + event(3, `"b"`, `"stop"`) + "data: [DONE]\n\n")
	frames, err := readAll(s)
	require.Equal(t, io.EOF, err)
	require.Len(t, frames, 3)
	require.Equal(t, []string{"a", longText, "b"}, []string{frames[0].Text, frames[1].Text, frames[2].Text})
}

func TestIncompleteStream(t *testing.T) {
	cases := map[string]struct {
		text    string
		failure any
	}{
		"empty":                     {"", new(*BrokenStreamError)},
		"no end marker":             {event(1, `"a"`, `"stop"`), new(*BrokenStreamError)},
		"cut in a line":             {event(1, `"a"`, "null")[:40], new(*BrokenStreamError)},
		"line too long":             {"data: " + strings.Repeat("x", maxLineBytes), new(*MalformedFrameError)},
		"not JSON":                  {"data: {\n\n", new(*MalformedFrameError)},
		"no sequence number":        {`data: {"id":"` + testGeneration + `","choices":[{"text":"a"}]}` + "\n\n", new(*MalformedFrameError)},
		"no choice":                 {`data: {"id":"` + testGeneration + `","choices":[],"sequence":1}` + "\n\n", new(*MalformedFrameError)},
		"bad generation":            {`data: {"id":"x","choices":[{"text":"a"}],"sequence":1}` + "\n\n", new(*MalformedFrameError)},
		"event id is no number":     {"id: one\n", new(*MalformedFrameError)},
		"event id of another frame": {"id: 2\n" + strings.TrimPrefix(event(1, `"a"`, "null"), "id: 1\n"), new(*MalformedFrameError)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(streamOf(c.text))
			require.ErrorAs(t, err, c.failure)
			require.NotErrorIs(t, err, io.EOF)
		})
	}
}

func TestBrokenStreamReportsLastSequence(t *testing.T) {
	_, err := readAll(streamOf(event(1, `"a"`, "null") + event(2, `"b"`, "null")))
	var broken *BrokenStreamError
	require.ErrorAs(t, err, &broken)
	require.Equal(t, core.Sequence(2), broken.Last)
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(event(1, `" the"`, "null") + event(2, `"\n"`, `"stop"`) + "data: [DONE]\n\n"))
	f.Add([]byte("id: 1\ndata: {\"sequence\":1}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := readAll(streamOf(string(text)))
		var broken *BrokenStreamError
		var malformed *MalformedFrameError
		ended := err == io.EOF && bytes.Contains(text, endMarker)
		if !ended && !errors.As(err, &broken) && !errors.As(err, &malformed) {
			t.Fatalf("unexpected end: %v", err)
		}
		for line := range bytes.Lines(text) {
			checkFastPath(t, bytes.TrimRight(line, "\r\n"))
		}
	})
}

// checkFastPath requires that decodeCommonFrame and decodeJSONFrame agree on a frame that
// the former accepts.
func checkFastPath(t *testing.T, line []byte) {
	data := bytes.TrimPrefix(line, []byte("data: "))
	fast, ok := decodeCommonFrame(data)
	if !ok {
		return
	}
	general, err := decodeJSONFrame(data)
	if err != nil || fast != general {
		t.Fatalf("fast path read %+v, general decoder %+v, %v", fast, general, err)
	}
}

func BenchmarkNext(b *testing.B) {
	events := event(7, `" the"`, "null")
	body := io.NopCloser(&repeat{text: []byte(events)})
	s := streamOf("")
	s.lines.Reset(body)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkGeneralDecoder(b *testing.B) {
	line := []byte(strings.TrimPrefix(strings.TrimSpace(event(7, `" the"`, "null")), "id: 7\ndata: "))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeJSONFrame(line); err != nil {
			b.Fatal(err)
		}
	}
}

// repeat is a reader that repeats its text without end.
type repeat struct {
	text []byte
	at   int
}

func (r *repeat) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		copied := copy(p[n:], r.text[r.at:])
		n += copied
		r.at = (r.at + copied) % len(r.text)
	}
	return n, nil
}
