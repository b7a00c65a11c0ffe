package headscan

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// LineBytes is the memory that a header line takes beside its bytes: an entry in the parsed header, and
	// another one in its copy for the target. 4,000 short lines took 73 bytes each, 2,000 distinct ones 115,
	// without the copy.
	LineBytes = 200
	// byteCopies is the number of copies of the bytes of a head.
	byteCopies = 2
	// maxEmptyBytes is the size of the empty lines that are allowed before a request, as net/http allows them.
	maxEmptyBytes = 4
	// keptBytes is the size of the beginning of a line that is looked at. Lines that say how a request ends are
	// shorter.
	keptBytes = 64
	// maxLengthDigits bounds the digits of a length, so that it cannot overflow.
	maxLengthDigits = 18
	// maxChunkDigits bounds the hexadecimal digits of the size of a chunk.
	maxChunkDigits = 15

	lengthName   = "content-length"
	encodingName = "transfer-encoding"
	chunkedName  = "chunked"
	version11    = "HTTP/1.1"
)

// Scanner scans the bytes that one connection receives. The zero value is at the beginning of a connection.
type Scanner struct {
	phase     phase
	size      int64           // bytes of the head, or of lines before or after it
	lines     int64           // complete header lines, or trailers
	line      [keptBytes]byte // beginning of the current line
	lineSize  int64
	tail      [len(version11)]byte // end of the request line, without its end of line
	old       bool                 // not HTTP/1.1, so that chunks are unknown
	length    int64                // announced; -1 for none
	chunked   bool
	remaining int64 // bytes of the body or chunk
}

// cost returns the memory that the current head, or the current trailers, take.
func (s *Scanner) cost() int64 { return byteCopies*s.size + LineBytes*s.lines }

// Scan scans bytes that follow those of earlier calls. A head has at most limit bytes. After a Reason the scanner
// must not be used again.
func (s *Scanner) Scan(p []byte, limit int64) Result {
	var result Result
	for at := 0; at < len(p); {
		if s.phase == phaseBody || s.phase == phaseChunk {
			n := min(s.remaining, int64(len(p)-at))
			s.remaining -= n
			at += int(n)
			if s.remaining == 0 {
				s.endData()
			}
			continue
		}
		if s.phase == phaseBefore && p[at] != '\r' && p[at] != '\n' {
			s.begin()
			result.HeadStart = at
			if len(result.Heads) == 0 {
				result.FirstHead = at
			}
		}
		if reason := s.scanByte(p[at], limit, &result); reason != "" {
			result.Reason, result.Valid = reason, at
			break
		}
		at++
	}
	if s.phase == phaseStart || s.phase == phaseHeader || s.phase == phaseTrailer {
		result.Open = s.cost()
	}
	result.InBody = s.phase == phaseChunkSize || s.phase == phaseTrailer
	return result
}

// begin begins a request.
func (s *Scanner) begin() {
	*s = Scanner{phase: phaseStart, length: -1}
}

// endData ends a body or a chunk.
func (s *Scanner) endData() {
	if s.phase == phaseChunk {
		s.phase, s.lineSize, s.size = phaseChunkSize, 0, 0
		return
	}
	s.phase, s.size = phaseBefore, 0
}

// scanByte scans a byte that is not of a body or chunk.
func (s *Scanner) scanByte(b byte, limit int64, result *Result) Reason {
	s.size++
	if s.phase == phaseBefore {
		if s.size > maxEmptyBytes {
			return EmptyLines
		}
		return ""
	}
	if s.size > limit {
		return TooLarge
	}
	if b != '\n' {
		if s.lineSize < keptBytes {
			s.line[s.lineSize] = b
		}
		s.lineSize++
		if s.phase == phaseStart && b != '\r' {
			copy(s.tail[:], s.tail[1:])
			s.tail[len(s.tail)-1] = b
		}
		return ""
	}
	line := bytes.TrimSuffix(s.line[:min(s.lineSize, keptBytes)], []byte("\r"))
	reason := s.endLine(string(line), s.lineSize > keptBytes, result)
	s.lineSize = 0
	return reason
}

// endLine ends a line. Only its beginning is given if it is cut.
func (s *Scanner) endLine(line string, cut bool, result *Result) Reason {
	switch {
	case s.phase == phaseStart:
		s.old = string(s.tail[:]) != version11
		s.phase = phaseHeader
	case s.phase == phaseChunkSize:
		return s.endChunkSize(line, cut)
	case line == "" && !cut && s.phase == phaseTrailer:
		result.Trailers += s.cost()
		s.phase, s.size, s.lines = phaseBefore, 0, 0
	case line == "" && !cut:
		return s.endHead(result)
	case line[0] == ' ' || line[0] == '\t':
		return ContinuedLine
	case s.phase == phaseHeader:
		s.lines++
		return s.endHeaderLine(line, cut)
	default: // a trailer
		s.lines++
	}
	return ""
}

// endHeaderLine notes what a line says about the end of the request. Other programs may take an underscore, or
// space before the colon, for no difference.
func (s *Scanner) endHeaderLine(line string, cut bool) Reason {
	name, value, _ := strings.Cut(line, ":")
	plain := strings.ReplaceAll(strings.ToLower(strings.TrimSpace(name)), "_", "-")
	if plain != lengthName && plain != encodingName {
		return ""
	}
	value = strings.Trim(value, " \t")
	if cut || !strings.EqualFold(name, plain) {
		return AmbiguousLength
	}
	if plain == encodingName {
		if s.old || s.chunked || s.length >= 0 {
			return AmbiguousLength
		}
		if !strings.EqualFold(value, chunkedName) {
			return UnknownEncoding
		}
		s.chunked = true
		return ""
	}
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || len(value) > maxLengthDigits || s.chunked || s.length >= 0 {
		return AmbiguousLength
	}
	s.length = int64(length)
	return ""
}

// endHead ends a head.
func (s *Scanner) endHead(result *Result) Reason {
	result.Heads = append(result.Heads, s.cost())
	result.HeadStart = 0
	s.size, s.lines = 0, 0
	switch {
	case s.chunked:
		s.phase = phaseChunkSize
	case s.length > 0:
		s.phase, s.remaining = phaseBody, s.length
	default:
		s.phase = phaseBefore
	}
	return ""
}

// endChunkSize ends the line with the size of a chunk.
func (s *Scanner) endChunkSize(line string, cut bool) Reason {
	digits, _, extended := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, 16, 63)
	if err != nil || len(digits) > maxChunkDigits || cut && !extended {
		return AmbiguousLength
	}
	s.size = 0
	if size == 0 {
		s.phase = phaseTrailer
		return ""
	}
	const lineEnd = len("\r\n")
	s.phase, s.remaining = phaseChunk, int64(size)+int64(lineEnd)
	return ""
}
