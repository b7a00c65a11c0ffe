package service

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/google/uuid"

	"siskintide.example/siskintide/internal/core"
)

// headerIncarnation names the service's incarnation in the response to a health check.
const headerIncarnation = "Service-Incarnation"

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses the transport and timeout of the given HTTP
// client. Redirects are returned as responses, because following one would send the call
// again.
func NewClient(client *http.Client) *Client {
	copied := *client
	copied.CheckRedirect = useLastResponse
	return &Client{http: &copied}
}

// useLastResponse keeps a call from being sent again to another address.
func useLastResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Probe checks the service's health. If the service does not name its incarnation, the
// report has that of the last report, or a new random one if the last report has none. The
// error is an *UnsentError, *AmbiguousError or *UnhealthyError.
func (c *Client) Probe(ctx context.Context, target core.TargetID, address string, last core.LoadReport) (core.LoadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return core.LoadReport{}, &UnsentError{Address: address, Err: err}
	}
	response, err := c.Do(ctx, address, request)
	if err != nil {
		return core.LoadReport{}, err
	}
	_ = response.Body.Close() // only the status and headers are of use
	if response.StatusCode != http.StatusOK {
		return core.LoadReport{}, &UnhealthyError{Address: address, Status: response.StatusCode}
	}
	incarnation := core.Incarnation(response.Header.Get(headerIncarnation))
	if incarnation == "" {
		incarnation = last.Incarnation
	}
	if incarnation == "" {
		incarnation = core.Incarnation(uuid.NewString())
	}
	return core.LoadReport{Target: target, Incarnation: incarnation}, nil
}

// Do sends a copy of the call to the service at the address, at most once. It returns an
// *UnsentError if no byte can have reached the service, and an *AmbiguousError if the call
// may have run. The caller must close the response's body.
func (c *Client) Do(ctx context.Context, address string, call *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := call.Clone(httptrace.WithClientTrace(ctx, trace))
	request.URL.Scheme = "http"
	request.URL.Host = address
	request.RequestURI = ""
	preventReplay(request)
	response, err := c.http.Do(request)
	if err == nil {
		return response, nil
	}
	if connected.Load() {
		return nil, &AmbiguousError{Address: address, Err: err}
	}
	return nil, &UnsentError{Address: address, Err: err}
}

// preventReplay keeps net/http from sending the call again after it may have reached the
// service. When a reused connection turns out to be closed, the transport replays a request
// that has no body, or a body that it can rewind, if the method is safe or the request has
// one of the headers in replayHeaders in canonical form.
func preventReplay(request *http.Request) {
	request.GetBody = nil
	if request.Body != nil && request.Body != http.NoBody {
		return
	}
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.Body = emptyBody{}
		request.ContentLength = 0
	default:
		lowerReplayHeaders(request.Header)
	}
}

// replayHeaders are the headers from which net/http concludes that a request may be replayed.
var replayHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// lowerReplayHeaders writes the names in lower case. Header names are case-insensitive for
// the service, but net/http looks only for the canonical form.
func lowerReplayHeaders(header http.Header) {
	for canonical, lower := range replayHeaders {
		if values, ok := header[canonical]; ok {
			delete(header, canonical)
			header[lower] = values
		}
	}
}
