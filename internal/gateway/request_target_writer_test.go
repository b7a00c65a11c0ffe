package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestRequestTargetIsSentUnchanged guards against a path that reaches a target as an absolute URL, because it
// begins with two slashes.
func TestRequestTargetIsSentUnchanged(t *testing.T) {
	for _, target := range []string{"/", "/a//b?x=%20", "//", "//cancel/slot/7", "//cancel/slot/7?x=//y", "///a", "//a:b@c/"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			request := &http.Request{
				Method: method, URL: &url.URL{Scheme: "http", Host: "10.0.0.1:80", Opaque: target}, Host: "front",
				Header: http.Header{}, Body: io.NopCloser(strings.NewReader("http: body")), ContentLength: 10,
			}
			var sent bytes.Buffer
			require.NoError(t, request.Write(targetWriter(&sent, request)))
			require.True(t, strings.HasPrefix(sent.String(), method+" "+target+" HTTP/1.1\r\n"), sent.String())
			require.True(t, strings.HasSuffix(sent.String(), "\r\n\r\nhttp: body"))
		}
	}
}

func TestRequestTargetWriterInPieces(t *testing.T) {
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Opaque: "//a"}}
	for _, wrap := range []func(io.Reader) io.Reader{iotest.OneByteReader, iotest.HalfReader, func(r io.Reader) io.Reader { return r }} {
		var sent bytes.Buffer
		n, err := io.Copy(struct{ io.Writer }{targetWriter(&sent, request)}, wrap(strings.NewReader("GET http://a HTTP/1.1\r\n")))
		require.NoError(t, err)
		require.EqualValues(t, 23, n)
		require.Equal(t, "GET //a HTTP/1.1\r\n", sent.String())
	}
}
