package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardedHeader returns a copy of a header without its hop-by-hop fields.
func forwardedHeader(header http.Header) http.Header {
	copied := header.Clone()
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}

// headerBytes returns the least size of the request line and header as they were sent: with no space after a colon.
func headerBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost:\r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(":\r\n")
		}
	}
	return int64(size)
}
