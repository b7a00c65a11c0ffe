package engine

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"siskintide.example/siskintide/internal/core"
)

// The JSON text between the values of a frame, in the order in which engines write it.
var (
	partID       = []byte(`{"id":"`)
	partText     = []byte(`","choices":[{"index":0,"text":"`)
	partFinish   = []byte(`","finish_reason":`)
	partSequence = []byte(`}],"sequence":`)
	partNull     = []byte(`null`)
	partStop     = []byte(`"stop"`)
	partLength   = []byte(`"length"`)
)

// generationDigits is the length of an encoded generation identifier.
const generationDigits = 32

// decodeFrame decodes one frame. Frames in the layout that engines write are decoded without
// encoding/json, which is slower; the result is the same.
func decodeFrame(data []byte) (Frame, error) {
	if frame, ok := decodeCommonFrame(data); ok {
		return frame, nil
	}
	return decodeJSONFrame(data)
}

// decodeCommonFrame decodes a frame in the layout that engines write, without escapes in the
// text. It returns false for any other frame.
func decodeCommonFrame(data []byte) (Frame, bool) {
	var frame Frame
	rest, ok := bytes.CutPrefix(data, partID)
	if !ok || len(rest) < generationDigits {
		return frame, false
	}
	var generation core.GenerationID
	if _, err := hex.Decode(generation[:], rest[:generationDigits]); err != nil {
		return frame, false
	}
	text, rest, ok := cutText(rest[generationDigits:])
	if !ok {
		return frame, false
	}
	reason, rest, ok := cutReason(rest)
	if !ok {
		return frame, false
	}
	sequence, ok := cutSequence(rest)
	if !ok {
		return frame, false
	}
	return Frame{Generation: generation, Sequence: sequence, Text: string(text), FinishReason: reason}, true
}

// cutText returns the text of a frame and the bytes after it.
func cutText(data []byte) (text, rest []byte, ok bool) {
	rest, ok = bytes.CutPrefix(data, partText)
	if !ok {
		return nil, nil, false
	}
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		return nil, nil, false
	}
	text = rest[:end]
	for _, b := range text {
		if b == '\\' || b < ' ' {
			return nil, nil, false
		}
	}
	if !utf8.Valid(text) {
		return nil, nil, false
	}
	return text, rest[end:], true
}

// cutReason returns the finish reason of a frame and the bytes after it.
func cutReason(data []byte) (reason string, rest []byte, ok bool) {
	data, ok = bytes.CutPrefix(data, partFinish)
	if !ok {
		return "", nil, false
	}
	if rest, ok = bytes.CutPrefix(data, partNull); ok {
		return "", rest, true
	}
	if rest, ok = bytes.CutPrefix(data, partStop); ok {
		return "stop", rest, true
	}
	rest, ok = bytes.CutPrefix(data, partLength)
	return "length", rest, ok
}

// cutSequence returns the sequence number at the end of a frame.
func cutSequence(data []byte) (core.Sequence, bool) {
	data, ok := bytes.CutPrefix(data, partSequence)
	if !ok || len(data) < 2 || data[len(data)-1] != '}' {
		return 0, false
	}
	return parseSequence(data[:len(data)-1])
}

// maxSequenceDigits keeps the number within the range of its type.
const maxSequenceDigits = 18

// parseSequence parses a positive decimal number without leading zeros.
func parseSequence(digits []byte) (core.Sequence, bool) {
	if len(digits) == 0 || len(digits) > maxSequenceDigits || digits[0] == '0' {
		return 0, false
	}
	var number core.Sequence
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		number = number*10 + core.Sequence(d-'0')
	}
	return number, true
}

// decodeJSONFrame decodes a frame in any layout that JSON allows.
func decodeJSONFrame(data []byte) (Frame, error) {
	var body frameBody
	if err := json.Unmarshal(data, &body); err != nil {
		return Frame{}, malformed(data, err.Error())
	}
	if len(body.Choices) != 1 {
		return Frame{}, malformed(data, strconv.Itoa(len(body.Choices))+" choices")
	}
	if body.Sequence == 0 {
		return Frame{}, malformed(data, "no sequence number")
	}
	frame := Frame{Generation: body.ID, Sequence: body.Sequence, Text: body.Choices[0].Text}
	if reason := body.Choices[0].FinishReason; reason != nil {
		frame.FinishReason = *reason
	}
	return frame, nil
}

// malformedLineBytes bounds the part of a malformed line that an error keeps.
const malformedLineBytes = 200

func malformed(line []byte, reason string) *MalformedFrameError {
	return &MalformedFrameError{Line: string(line[:min(len(line), malformedLineBytes)]), Reason: reason}
}
