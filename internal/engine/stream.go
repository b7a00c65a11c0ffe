package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxLineBytes bounds one line of a stream, and thereby the memory that a stream uses.
	maxLineBytes = 8 << 10
	// lineBufferBytes is the size of a stream's read buffer. Longer lines are copied to
	// additional memory.
	lineBufferBytes = 512
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
	longLine    []byte        // a line that is longer than the buffer of lines; nil for others
	eventID     core.Sequence // value of the last id line; zero if none since the last frame
	last        core.Sequence
	done        bool
}

// newStream returns a stream that reads the frames of a generation from a response body.
func newStream(generation core.GenerationID, incarnation core.Incarnation, body io.ReadCloser) *Stream {
	return &Stream{
		generation:  generation,
		incarnation: incarnation,
		body:        body,
		lines:       bufio.NewReaderSize(body, lineBufferBytes),
	}
}

// Incarnation returns the engine's incarnation, as given in the response.
func (s *Stream) Incarnation() core.Incarnation { return s.incarnation }

// Close ends the connection. The engine keeps the stream running for its resume window.
func (s *Stream) Close() error { return s.body.Close() }

// Next waits for the next frame. It returns io.EOF only after the end marker, a
// *MalformedFrameError for a line that violates the protocol, and a *BrokenStreamError if
// the stream ends early. Frames may be duplicated, out of order or of another generation;
// the caller must check their sequence numbers and generation ids.
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

// readLine returns the next line without its line ending. The line is valid until the next
// read.
func (s *Stream) readLine() ([]byte, error) {
	s.longLine = nil
	line, err := s.lines.ReadSlice('\n')
	for errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = append(s.longLine, line...)
		if len(s.longLine) >= maxLineBytes {
			return nil, malformed(s.longLine, "line too long")
		}
		line, err = s.lines.ReadSlice('\n')
	}
	if err != nil {
		return nil, s.broken(err)
	}
	if s.longLine != nil {
		s.longLine = append(s.longLine, line...)
		line = s.longLine
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readEventID parses the value of an id line, which has to match the next frame.
func (s *Stream) readEventID(value []byte) error {
	number, ok := parseSequence(value)
	if !ok {
		return malformed(value, "bad event id")
	}
	s.eventID = number
	return nil
}

// readData decodes the value of a data line.
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

// broken returns the error for a stream that ended early.
func (s *Stream) broken(err error) *BrokenStreamError {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return &BrokenStreamError{Generation: s.generation, Last: s.last, Err: err}
}
