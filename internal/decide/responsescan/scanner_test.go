package responsescan

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// scanParts scans a text in parts of the given size, and returns the reason and the size of the parts before it.
func scanParts(text string, size int) (int, Reason) {
	var s Scanner
	for start := 0; start < len(text); start += size {
		if reason := s.Scan([]byte(text[start:min(start+size, len(text))])); reason != "" {
			return start, reason
		}
	}
	return len(text), ""
}

// requireScan checks the reason, in whatever parts the bytes arrive, and the number of bytes before it.
func requireScan(t *testing.T, text string, valid int, reason Reason) {
	t.Helper()
	got, _ := scanParts(text, 1)
	require.Equal(t, valid, got, "%q", text)
	for _, size := range []int{1, 5, len(text)} {
		_, got := scanParts(text, size)
		require.Equal(t, reason, got, "%q in parts of %d", text, size)
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
	requireScan(t, strings.ReplaceAll(informational+final, "\r", "")+body, len(informational+final+body)-strings.Count(informational+final, "\r"), "")
	requireScan(t, informational+"HTTP/1.1 000 ", len(informational)+len("HTTP/1.1 00"), InvalidStatus)
}

func TestFields(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nDate: now\r\n"
	for _, c := range []struct {
		fields string
		valid  int // bytes of the fields
		reason Reason
	}{
		{"A: b\r\nc-D_1:\r\nE:  \t\r\n\r\n", 23, ""},
		{"Content Length: 2\r\n", 7, InvalidFieldName},
		{"Content-Length : 2\r\n", 14, InvalidFieldName},
		{"Content\x00Length: 2\r\n", 7, InvalidFieldName},
		{"\x7fContent-Length: 2\r\n", 0, InvalidFieldName},
		{"Caf\xe9: 2\r\n", 3, InvalidFieldName},
		{"Content-\nLength: 2\r\n", 8, InvalidFieldName},
		{"Content-\rLength: 2\r\n", 8, InvalidFieldName},
		{"\rContent-Length: 2\r\n", 1, InvalidFieldName},
		{"\r\r\n", 1, InvalidFieldName},
		{": 2\r\n", 0, InvalidFieldName},
		{"no colon\r\n", 2, InvalidFieldName},
		{"colon\r\n", 5, InvalidFieldName},
		{" Content-Length: 2\r\n", 0, ContinuedLine},
		{"\tContent-Length: 2\r\n", 0, ContinuedLine},
		{" \r\n", 0, ContinuedLine},
		{"\nContent-Length: 2\r\n", 0, MixedLineEnds},
		{"A: b\nContent-Length: 2\r\n", 4, MixedLineEnds},
	} {
		requireScan(t, start+c.fields, len(start)+c.valid, c.reason)
	}
	for name, reason := range map[string]Reason{"Transfer-Encoding": UnexpectedEncoding, "transfer-ENCODING": UnexpectedEncoding, "Transfer-Encodin": "", "Transfer-Encodings": "", "X-Transfer-Encoding": ""} {
		_, got := scanParts("HTTP/1.0 200 OK\r\n"+name+": chunked\r\n\r\n", 1)
		require.Equal(t, reason, got, "%q", name)
		_, got = scanParts("HTTP/1.1 200 OK\r\n"+name+": chunked\r\n\r\n", 1)
		require.Empty(t, got, "%q", name)
	}
	requireScan(t, "HTTP/1.1 200 OK\nA: b\r\n", len("HTTP/1.1 200 OK\nA: b\r"), MixedLineEnds)
	requireScan(t, "HTTP/1.1 200 OK\n\r\n", len("HTTP/1.1 200 OK\n\r"), MixedLineEnds)
}

// FuzzScanner guards against a scanner that depends on how bytes arrive, that lets the parser see the end of a
// malformed head, or that accepts a head of which the parser makes invalid fields or an invalid status.
func FuzzScanner(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\nA: b\n\nbody",
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n\nContent-Length: 2\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		valid, reason := scanParts(text, 1)
		for _, size := range []int{3, max(len(text), 1)} {
			_, got := scanParts(text, size)
			require.Equal(t, reason, got)
		}
		reader := bufio.NewReader(strings.NewReader(text[:valid]))
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			require.GreaterOrEqual(t, response.StatusCode, minStatus)
			require.LessOrEqual(t, response.StatusCode, maxStatus)
			for name := range response.Header {
				require.NotEmpty(t, name)
				require.Empty(t, strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789!#$%&'*+-.^_`|~"))
			}
			if response.StatusCode >= minFinalStatus {
				require.Empty(t, reason, "the parser has seen a complete head that was refused")
				return
			}
		}
	})
}
