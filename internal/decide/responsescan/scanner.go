package responsescan

import "strings"

const (
	// statusForm is the form of the beginning of a status line; a 0 stands for any digit.
	statusForm = "HTTP/1.0 000"
	// statusAt is the offset of the status in a status line.
	statusAt = len("HTTP/1.0 ")

	minStatus          = 100
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
)

// Scanner scans the bytes of one response, and of the informational responses before it. The zero value is at the
// beginning of the first head.
type Scanner struct {
	phase  phase
	column int // offset in the current line, without carriage returns
	status int
}

// Scan scans bytes that follow those of earlier calls. It returns how many of them are valid, and the reason if that
// is not all of them. The valid bytes complete no malformed head. After a reason the scanner must not be used again.
func (s *Scanner) Scan(p []byte) (valid int, reason Reason) {
	for i, b := range p {
		if s.phase == phaseBody {
			break
		}
		if reason := s.scanByte(b); reason != "" {
			return i, reason
		}
	}
	return len(p), ""
}

// scanByte scans a byte of a head.
func (s *Scanner) scanByte(b byte) Reason {
	if s.phase == phaseStatus {
		if reason := s.scanStatusLine(b); reason != "" {
			return reason
		}
	}
	switch {
	case b != '\n':
		if b != '\r' {
			s.column++
		}
	case s.phase == phaseFields && s.column == 0:
		s.endHead()
	default:
		s.phase, s.column = phaseFields, 0
	}
	return ""
}

// scanStatusLine checks the next byte of the status line.
func (s *Scanner) scanStatusLine(b byte) Reason {
	switch {
	case s.column > len(statusForm): // the reason phrase
		return ""
	case s.column == len(statusForm):
		if !strings.ContainsRune(" \r\n", rune(b)) {
			return InvalidStatusLine
		}
		return ""
	case statusForm[s.column] != '0':
		if b != statusForm[s.column] {
			return InvalidStatusLine
		}
		return ""
	case b < '0' || b > '9':
		return InvalidStatusLine
	}
	if s.column >= statusAt {
		s.status = 10*s.status + int(b-'0')
	}
	if s.column == len(statusForm)-1 && (s.status < minStatus || s.status > maxStatus || s.status == switchingProtocols) {
		return InvalidStatus
	}
	return ""
}

// endHead ends a head. Another one follows that of an informational response.
func (s *Scanner) endHead() {
	next := phaseBody
	if s.status < minFinalStatus {
		next = phaseStatus
	}
	*s = Scanner{phase: next}
}
