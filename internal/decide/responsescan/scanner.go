package responsescan

import "strings"

const (
	// statusForm is the form of the beginning of a status line; a 0 stands for any digit.
	statusForm = "HTTP/1.0 000"
	// minorAt and statusAt are the offsets of the minor version and of the status in a status line.
	minorAt  = len("HTTP/1.")
	statusAt = len("HTTP/1.0 ")
	// encodingName is a name in lower case.
	encodingName = "transfer-encoding"

	minStatus          = 100
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
)

// Scanner scans the bytes of one response, and of the informational responses before it. The zero value is at the
// beginning of the first head.
type Scanner struct {
	phase      phase
	column     int // offset in the status line or the name of a field, without carriage returns
	status     int
	isHTTP10   bool
	isEncoding bool // the bytes of the name so far begin encodingName
	afterCR    bool // the byte before was a carriage return
	bareLF     bool // the status line ended without a carriage return
}

// Scan scans bytes that follow those of earlier calls. It returns a reason if they make a head malformed; the bytes of
// earlier calls do not complete that head. After a reason the scanner must not be used again.
func (s *Scanner) Scan(p []byte) Reason {
	for _, b := range p {
		if s.phase == phaseBody {
			break
		}
		if reason := s.scanByte(b); reason != "" {
			return reason
		}
	}
	return ""
}

// scanByte scans a byte of a head.
func (s *Scanner) scanByte(b byte) Reason {
	var reason Reason
	switch s.phase {
	case phaseStatus:
		reason = s.scanStatusLine(b)
	case phaseName:
		reason = s.scanName(b)
	}
	if reason == "" && b == '\n' {
		reason = s.endLine()
	}
	s.afterCR = b == '\r'
	return reason
}

// endLine ends a line. Only an empty line can end where a name is due.
func (s *Scanner) endLine() Reason {
	if s.phase == phaseStatus {
		s.bareLF = !s.afterCR
	}
	if s.bareLF == s.afterCR {
		return MixedLineEnds
	}
	if s.phase == phaseName {
		s.endHead()
		return ""
	}
	s.phase, s.column = phaseName, 0
	return ""
}

// scanName checks the next byte of the name of a field, or of an empty line.
func (s *Scanner) scanName(b byte) Reason {
	if s.column == 0 {
		switch {
		case b == '\n', b == '\r' && !s.afterCR:
			return "" // an empty line, if no other byte follows
		case s.afterCR:
			return InvalidFieldName
		case b == ' ', b == '\t':
			return ContinuedLine
		}
	}
	switch {
	case b == ':' && s.column > 0:
		return s.endName()
	case !isToken(b):
		return InvalidFieldName
	}
	s.isEncoding = (s.column == 0 || s.isEncoding) && s.column < len(encodingName) && lower(b) == encodingName[s.column]
	s.column++
	return ""
}

// endName ends the name of a field.
func (s *Scanner) endName() Reason {
	if s.isHTTP10 && s.isEncoding && s.column == len(encodingName) {
		return UnexpectedEncoding
	}
	s.phase = phaseValue
	return ""
}

// lower returns an upper-case letter in lower case, and any other byte unchanged.
func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// isToken reports whether a byte may be part of a token, as in the name of a field.
func isToken(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

// scanStatusLine checks the next byte of the status line.
func (s *Scanner) scanStatusLine(b byte) Reason {
	switch {
	case s.column > len(statusForm): // the reason phrase
		return ""
	case s.column == len(statusForm):
		if b != ' ' && b != '\r' && b != '\n' {
			return InvalidStatusLine
		}
	case statusForm[s.column] != '0':
		if b != statusForm[s.column] {
			return InvalidStatusLine
		}
	case b < '0' || b > '9':
		return InvalidStatusLine
	case s.column == minorAt:
		s.isHTTP10 = b == '0'
	case s.column >= statusAt:
		s.status = 10*s.status + int(b-'0')
		if s.column == len(statusForm)-1 && (s.status < minStatus || s.status > maxStatus || s.status == switchingProtocols) {
			return InvalidStatus
		}
	}
	if b != '\r' {
		s.column++
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
