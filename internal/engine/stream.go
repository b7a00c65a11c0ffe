package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxLineBytes bounds one line of a stream, and so the memory that a stream holds.
	maxLineBytes = 8 << 10
	// usualLineBytes is what a stream holds while its lines are of the usual length.
	usualLineBytes = 512
)

var (
	prefixID   = []byte("id:")
	prefixData = []byte("data:")
	endMarker  = []byte("[DONE]")
)

// Stream reads the frames of one generation. It is used by one goroutine; Close may be
// called from another one to end a waiting Next.
type Stream struct {
	generation  core.GenerationID
	incarnation core.Incarnation
	body        io.ReadCloser
	lines       *bufio.Reader
	long        []byte        // the pieces of a line longer than the buffer of lines; nil for others
	eventID     core.Sequence // value of the latest id line; zero if none since the last frame
	last        core.Sequence
	done        bool
}

// newStream reads frames of a generation from the body of an answer.
func newStream(generation core.GenerationID, incarnation core.Incarnation, body io.ReadCloser) *Stream {
	return &Stream{
		generation:  generation,
		incarnation: incarnation,
		body:        body,
		lines:       bufio.NewReaderSize(body, usualLineBytes),
	}
}

// Incarnation returns the engine's incarnation as it named itself in the answer.
func (s *Stream) Incarnation() core.Incarnation { return s.incarnation }

// Close ends the connection. The engine keeps the stream running for its resume window.
func (s *Stream) Close() error { return s.body.Close() }

// Next waits for the next frame. It returns io.EOF only after the end marker, a
// *MalformedFrameError for a line outside the protocol, and a *BrokenStreamError when the
// stream ends early. Frames may repeat, come late or belong to another generation; the
// caller checks their numbers and identifiers.
func (s *Stream) Next() (Frame, error) {
	if s.done {
		return Frame{}, io.EOF
	}
	for {
		line, err := s.readLine()
		if err != nil {
			return Frame{}, err
		}
		if value, ok := bytes.CutPrefix(line, prefixData); ok {
			return s.readData(bytes.TrimPrefix(value, []byte(" ")))
		}
		if value, ok := bytes.CutPrefix(line, prefixID); ok {
			if err := s.readEventID(bytes.TrimPrefix(value, []byte(" "))); err != nil {
				return Frame{}, err
			}
		}
	}
}

// readLine returns the next line without its end. The line is valid until the next read.
func (s *Stream) readLine() ([]byte, error) {
	s.long = nil
	line, err := s.lines.ReadSlice('\n')
	for errors.Is(err, bufio.ErrBufferFull) {
		s.long = append(s.long, line...)
		if len(s.long) >= maxLineBytes {
			return nil, malformed(s.long, "line too long")
		}
		line, err = s.lines.ReadSlice('\n')
	}
	if err != nil {
		return nil, s.broken(err)
	}
	if s.long != nil {
		s.long = append(s.long, line...)
		line = s.long
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readEventID keeps the number of an id line for the frame that follows.
func (s *Stream) readEventID(value []byte) error {
	number, ok := parseSequence(value)
	if !ok {
		return malformed(value, "bad event id")
	}
	s.eventID = number
	return nil
}

// readData reads the value of a data line.
func (s *Stream) readData(value []byte) (Frame, error) {
	if bytes.Equal(value, endMarker) {
		s.done = true
		return Frame{}, io.EOF
	}
	frame, err := decodeFrame(value)
	if err != nil {
		return Frame{}, err
	}
	if s.eventID != 0 && s.eventID != frame.Sequence {
		return Frame{}, malformed(value, "event id differs from sequence number")
	}
	s.eventID = 0
	if frame.Generation == s.generation {
		s.last = max(s.last, frame.Sequence)
	}
	return frame, nil
}

// broken wraps the cause of an early end.
func (s *Stream) broken(err error) *BrokenStreamError {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return &BrokenStreamError{Generation: s.generation, Last: s.last, Err: err}
}
