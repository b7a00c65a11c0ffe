package responsescan

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// scanParts scans a text in parts of the given size, and returns the number of valid bytes and the reason.
func scanParts(text string, size int) (int, Reason) {
	var s Scanner
	total := 0
	for rest := text; rest != ""; {
		part := rest[:min(size, len(rest))]
		rest = rest[len(part):]
		valid, reason := s.Scan([]byte(part))
		total += valid
		if reason != "" {
			return total, reason
		}
	}
	return total, ""
}

// requireScan checks the result of a scan, in whatever parts the bytes arrive.
func requireScan(t *testing.T, text string, valid int, reason Reason) {
	t.Helper()
	for _, size := range []int{1, 5, len(text)} {
		gotValid, gotReason := scanParts(text, size)
		require.Equal(t, reason, gotReason, "%q in parts of %d", text, size)
		require.Equal(t, valid, gotValid, "%q in parts of %d", text, size)
	}
}

func TestStatusLines(t *testing.T) {
	for line, want := range map[string]Reason{
		"HTTP/1.1 200 OK":  "",
		"HTTP/1.0 404":     "",
		"HTTP/1.1 599 ":    "",
		"HTTP/1.1 000 OK":  InvalidStatus,
		"HTTP/1.1 099 OK":  InvalidStatus,
		"HTTP/1.1 101 OK":  InvalidStatus,
		"HTTP/1.1 600 OK":  InvalidStatus,
		"HTTP/1.1 +20 OK":  InvalidStatusLine,
		"HTTP/1.1 -00 OK":  InvalidStatusLine,
		"HTTP/1.1  200 OK": InvalidStatusLine,
		"HTTP/1.1 2000 OK": InvalidStatusLine,
		"HTTP/1.1 20":      InvalidStatusLine,
		"HTTP/2.0 200 OK":  InvalidStatusLine,
		"HTTP/1.x 200 OK":  InvalidStatusLine,
		"http/1.1 200 OK":  InvalidStatusLine,
		" HTTP/1.1 200 OK": InvalidStatusLine,
		"":                 InvalidStatusLine,
	} {
		_, reason := scanParts(line+"\r\nA: b\r\n\r\n", 1)
		require.Equal(t, want, reason, "%q", line)
	}
}

// TestHeadsAndBodies guards against a scan of a body, or of nothing after an informational response.
func TestHeadsAndBodies(t *testing.T) {
	const informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	const final = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	const body = "HTTP/1.1 000 \n\n any bytes"
	requireScan(t, informational+final+body, len(informational+final+body), "")
	requireScan(t, informational+"HTTP/1.1 000 ", len(informational)+len("HTTP/1.1 00"), InvalidStatus)
}
