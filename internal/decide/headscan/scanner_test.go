package headscan

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testLimit = 4096

// scanParts scans a text in parts of the given size, and returns the heads and the first reason.
func scanParts(text []byte, size int) ([]int64, Reason) {
	var s Scanner
	var heads []int64
	for len(text) > 0 {
		part := text[:min(size, len(text))]
		text = text[len(part):]
		result := s.Scan(part, testLimit)
		heads = append(heads, result.Heads...)
		if result.Reason != "" {
			return heads, result.Reason
		}
	}
	return heads, ""
}

func TestReasons(t *testing.T) {
	const start = "POST / HTTP/1.1\r\nHost: a\r\n"
	for text, want := range map[string]Reason{
		start + "Content-Length: 4\r\n\r\nbody":                                                   "",
		start + "Content-Length: 4\r\n\r\nbody\r\n\r\n" + start + "\r\n":                          "",
		start + "transfer-encoding: Chunked\r\n\r\n4;x\r\nbody\r\n0\r\n\r\n":                      "",
		start + "\r\n\r\n\r\n\r\n":                                                                EmptyLines,
		"\r\n\r\n\r\n":                                                                            EmptyLines,
		start + "X: " + strings.Repeat("a", testLimit):                                            TooLarge,
		start + strings.Repeat("a:\r\n", testLimit/4):                                             TooLarge,
		strings.Repeat("a", testLimit+1):                                                          TooLarge,
		start + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("T: a\r\n", testLimit): TooLarge,
		start + "Content-Length: 4\r\nContent-Length: 4\r\n":                                      AmbiguousLength,
		start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n":                             AmbiguousLength,
		start + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n":                             AmbiguousLength,
		start + "Transfer-Encoding: chunked, chunked\r\n":                                         UnknownEncoding,
		start + "Transfer-Encoding:" + strings.Repeat(" ", 99) + "chunked\r\n":                    AmbiguousLength,
		start + "Transfer_Encoding: chunked\r\n":                                                  AmbiguousLength,
		start + "Content-Length : 4\r\n":                                                          AmbiguousLength,
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n":                                       AmbiguousLength,
		start + "Transfer-Encoding: chunked\r\n\r\n-1\r\n":                                        AmbiguousLength,
		start + "X: y\r\n Content-Length: 4\r\n":                                                  ContinuedLine,
	} {
		for _, size := range []int{1, 7, len(text)} {
			_, reason := scanParts([]byte(text), size)
			require.Equal(t, want, reason, "%q in parts of %d", text[:min(len(text), 200)], size)
		}
	}
}

// TestValidBytesCompleteNoRefusedHead guards against a refused request that the parser gets to see.
func TestValidBytesCompleteNoRefusedHead(t *testing.T) {
	var s Scanner
	text := "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n"
	result := s.Scan([]byte(text), testLimit)
	require.Equal(t, AmbiguousLength, result.Reason)
	require.Len(t, result.Heads, 1)
	require.Equal(t, strings.Index(text, "\r\n\r\nGET")+4, result.HeadStart)
	require.NotContains(t, text[result.HeadStart:result.Valid], "\r\n\r\n")
}

// TestCostCountsLines guards against heads of short lines that take far more memory than their bytes.
func TestCostCountsLines(t *testing.T) {
	var s Scanner
	result := s.Scan([]byte("GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 500)), testLimit)
	require.Equal(t, int64(byteCopies*(16+500*4)+500*LineBytes), result.Open)
}

// FuzzScanner guards against a scanner that depends on how bytes arrive, or that finds other requests than the
// parser does.
func FuzzScanner(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET / HTTP/1.1\nHost: a\n\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nT: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(text), 5)
	}
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = 1 + (size&0xff)%64
		whole, reason := scanParts(text, len(text)+1)
		parts, partsReason := scanParts(text, size)
		require.Equal(t, reason, partsReason)
		require.Equal(t, whole, parts)
		if reason == "" {
			require.Equal(t, parsedRequests(text), min(len(whole), parsedRequests(text)), "the parser found more requests than the scanner")
			requireSameEnds(t, text, whole)
		}
	})
}

// parsedRequests returns how many complete requests net/http finds.
func parsedRequests(text []byte) int {
	count, source := 0, bufio.NewReader(bytes.NewReader(text))
	for {
		r, err := http.ReadRequest(source)
		if err != nil {
			return count
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return count
		}
		count++
	}
}

// requireSameEnds checks that the scanner found no request that begins at another place than those of net/http.
func requireSameEnds(t *testing.T, text []byte, heads []int64) {
	t.Helper()
	source := bytes.NewReader(text)
	buffered := bufio.NewReader(source)
	var s Scanner
	last, found := 0, 0
	for range heads {
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return // the server closes the connection
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		end := len(text) - source.Len() - buffered.Buffered()
		found += len(s.Scan(text[last:end], testLimit).Heads)
		last = end
		require.Equal(t, phaseBefore, s.phase, "the scanner is within a request where net/http has read one to its end")
	}
	require.Equal(t, len(heads), found)
}

// TestKeptCorpus guards against a corpus that is lost: the fuzz target runs on it in each test.
func TestKeptCorpus(t *testing.T) {
	kept, err := filepath.Glob("testdata/fuzz/FuzzScanner/*")
	require.NoError(t, err)
	require.NotEmpty(t, kept)
	for _, path := range kept {
		_, err := os.Stat(path)
		require.NoError(t, err)
	}
}
