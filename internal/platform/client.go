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
	"siskintide.example/siskintide/internal/responsehead"
)

const (
	// maxResponseBytes limits the body of a response, and with it the memory to read it.
	maxResponseBytes = 64 << 20
	// maxConnections limits the connections of one host, so that waiting calls do not
	// flood a slow platform.
	maxConnections = 16
	// callerHeader carries the id of the calling host.
	callerHeader = "Calling-Host"
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
)

// Client calls the platform's service. It is safe for concurrent use, except for SetCaller.
type Client struct {
	base    string
	timeout time.Duration
	caller  core.HostID // sent in callerHeader; empty for no header
	http    *http.Client
}

// NewClient returns a client for the service at the given IP and port. The timeout applies
// to each call.
func NewClient(address string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base:    "http://" + address,
		timeout: timeout,
		http:    &http.Client{Transport: responsehead.NewTransport(transport), CheckRedirect: useLastResponse},
	}
}

// SetCaller sets the host that every call names in callerHeader, so that the platform can
// distinguish its callers, and returns the client. It must be called before the first call.
func (c *Client) SetCaller(caller core.HostID) *Client {
	c.caller = caller
	return c
}

// useLastResponse stops the HTTP client from following redirects, which would send a call
// a second time.
func useLastResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// read sends a call that changes nothing. Every error is an *UnavailableError.
func (c *Client) read(ctx context.Context, path string) (response, error) {
	call := http.MethodGet + " " + path
	got, _, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return response{}, &UnavailableError{Call: call, Err: err}
	}
	if got.status >= http.StatusInternalServerError {
		return response{}, &UnavailableError{Call: call, Err: &StatusError{Status: got.status}}
	}
	return got, nil
}

// write sends a call that changes data. It returns an *UnavailableError if the change did
// not take effect and an *AmbiguousError if it may have.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (response, error) {
	call := method + " " + path
	got, sent, err := c.send(ctx, method, path, body)
	if err != nil && !sent {
		return response{}, &UnavailableError{Call: call, Err: err}
	}
	if err != nil {
		return response{}, &AmbiguousError{Call: call, Err: err}
	}
	if got.status == http.StatusServiceUnavailable {
		return response{}, &UnavailableError{Call: call, Err: &StatusError{Status: got.status}}
	}
	if got.status >= http.StatusInternalServerError {
		return response{}, &AmbiguousError{Call: call, Err: &StatusError{Status: got.status}}
	}
	return got, nil
}

// send makes one HTTP request and reads the complete response. The result sent reports
// whether any byte of the request may have reached the platform.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (got response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	if c.caller != "" {
		request.Header.Set(callerHeader, string(c.caller))
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return response{}, connected.Load(), err
	}
	data, err := readBounded(httpResponse.Body)
	err = errors.Join(err, httpResponse.Body.Close())
	return response{status: httpResponse.StatusCode, body: data}, true, err
}

// readBounded reads a body. It returns a *TooLargeError for more than maxResponseBytes.
func readBounded(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxResponseBytes {
		return nil, &TooLargeError{Limit: maxResponseBytes}
	}
	return data, nil
}
