package callerlimit

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/headscan"
)

const (
	// reasonSilent is the reason for which a connection without a request is closed in favour of a new one.
	reasonSilent = "silent_connection"
	// reasonSlowBody is the reason for which a body that arrives slowly is given up while memory is short.
	reasonSlowBody = "slow_body"
	// retryAfter is the time after which a caller that found no room may come back.
	retryAfter = 500 * time.Millisecond
)

// refusalText returns the complete response to a request that is refused before it is parsed.
func (l *Limiter) refusalText(reason string) string {
	status, retry := http.StatusServiceUnavailable, retryAfter
	switch headscan.Reason(reason) {
	case headscan.TooLarge:
		status, retry = http.StatusRequestHeaderFieldsTooLarge, 0
	case headscan.AmbiguousLength, headscan.ContinuedLine, headscan.EmptyLines:
		status, retry = http.StatusBadRequest, 0
	case headscan.UnknownEncoding:
		status, retry = http.StatusNotImplemented, 0
	}
	body := fmt.Sprintf(`{"type":%q,"message":"refused before the request was read","run":%q}`, reason, core.NotRun)
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{"Content-Type": {"application/json"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	l.options.EncodeRefusal(response.Header, retry.Seconds())
	var text strings.Builder
	if err := response.Write(&text); err != nil {
		l.options.Log.WithError(err).Error("refusal could not be encoded")
	}
	return text.String()
}
