package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxAnswerBytes bounds an answer, and so the memory for reading it.
	maxAnswerBytes = 64 << 20
	// maxConnections bounds the connections of one host, so that a slow platform is not
	// flooded by calls that wait.
	maxConnections = 16
	// callerHeader names the host that calls.
	callerHeader = "Calling-Host"
	// idleTimeout closes connections that are no longer needed.
	idleTimeout = 30 * time.Second
)

// Client calls the platform's service. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	caller  core.HostID // empty if calls don't name their host
	http    *http.Client
}

// NewClient returns a client for the service at the given IP and port. Every call ends
// after the timeout at the latest.
func NewClient(address string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base:    "http://" + address,
		timeout: timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: useLastResponse},
	}
}

// SetCaller returns the client with every call naming the host that makes it, so that the
// platform can tell its callers apart. It is called before the first call.
func (c *Client) SetCaller(caller core.HostID) *Client {
	c.caller = caller
	return c
}

// useLastResponse keeps a call from being sent again to another address.
func useLastResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// read makes a call without effect. Every failure is an *UnavailableError.
func (c *Client) read(ctx context.Context, path string) (answer, error) {
	call := http.MethodGet + " " + path
	got, _, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return answer{}, &UnavailableError{Call: call, Err: err}
	}
	if got.status >= http.StatusInternalServerError {
		return answer{}, &UnavailableError{Call: call, Err: &StatusError{Status: got.status}}
	}
	return got, nil
}

// write makes a call that changes something. It returns an *UnavailableError when the
// change certainly did not take effect and an *AmbiguousError when it may have.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (answer, error) {
	call := method + " " + path
	got, sent, err := c.send(ctx, method, path, body)
	if err != nil && !sent {
		return answer{}, &UnavailableError{Call: call, Err: err}
	}
	if err != nil {
		return answer{}, &AmbiguousError{Call: call, Err: err}
	}
	if got.status == http.StatusServiceUnavailable {
		return answer{}, &UnavailableError{Call: call, Err: &StatusError{Status: got.status}}
	}
	if got.status >= http.StatusInternalServerError {
		return answer{}, &AmbiguousError{Call: call, Err: &StatusError{Status: got.status}}
	}
	return got, nil
}

// send makes one call, reads its whole answer and reports whether a byte of the call may
// have reached the platform.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (got answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, false, err
	}
	if c.caller != "" {
		request.Header.Set(callerHeader, string(c.caller))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, connected.Load(), err
	}
	data, err := readBounded(response.Body)
	err = errors.Join(err, response.Body.Close())
	return answer{status: response.StatusCode, body: data}, true, err
}

// readBounded reads a body of at most maxAnswerBytes.
func readBounded(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxAnswerBytes {
		return nil, &TooLargeError{Limit: maxAnswerBytes}
	}
	return data, nil
}
