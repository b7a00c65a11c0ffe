package gateway

import (
	"io"
	"net/http"
	"strings"
)

// requestTargetWriter removes the scheme that net/http puts before a request target that begins with two
// slashes: a target would take it for an absolute URL, and the first segment of the path for a host.
type requestTargetWriter struct {
	destination io.Writer
	keep        int // bytes to pass on before those to drop
	drop        int
}

// targetWriter returns the writer for a request to the destination.
func targetWriter(destination io.Writer, request *http.Request) io.Writer {
	if !strings.HasPrefix(request.URL.Opaque, "//") {
		return destination
	}
	return &requestTargetWriter{destination: destination, keep: len(request.Method) + len(" "), drop: len(request.URL.Scheme) + len(":")}
}

// Write implements io.Writer.
func (w *requestTargetWriter) Write(p []byte) (int, error) {
	kept := min(w.keep, len(p))
	dropped := min(w.drop, len(p)-kept)
	w.keep -= kept
	w.drop -= dropped
	if dropped == 0 {
		return w.destination.Write(p)
	}
	if _, err := w.destination.Write(p[:kept]); err != nil {
		return 0, err
	}
	n, err := w.destination.Write(p[kept+dropped:])
	return kept + dropped + n, err
}
