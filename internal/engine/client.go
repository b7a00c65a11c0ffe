package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
)

const (
	// headerIncarnation names the engine's incarnation in a response.
	headerIncarnation = "Engine-Incarnation"
	// headerExpect names the incarnation that a request is meant for.
	headerExpect = "Engine-Expect-Incarnation"
	// headerLastEvent names the sequence number after which a stream is resumed.
	headerLastEvent = "Last-Event-ID"
)

// maxResponseBytes bounds a response that is not a stream, and thereby the memory for reading
// it.
const maxResponseBytes = 4 << 20

// Client calls model engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses the given HTTP client, which must have no overall
// timeout, because streams last as long as the generation. Callers bound calls by their
// contexts.
func NewClient(client *http.Client) *Client {
	return &Client{http: client}
}

// Start starts a new stream at the ticket's engine. It returns an *UnsentError,
// *RejectedError or *IncarnationError if the engine does not run the request, and a
// *BrokenStreamError if it may run it.
func (c *Client) Start(ctx context.Context, ticket core.Ticket, req Request) (*Stream, error) {
	body, err := json.Marshal(completionBody{
		Model:     req.Model,
		Prompt:    req.Prompt,
		MaxTokens: req.MaxTokens,
		Seed:      req.Seed,
		Priority:  ticket.Priority,
		Stream:    true,
		RequestID: ticket.Generation.String(),
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	request, err := newRequest(ctx, http.MethodPost, ticket.Address, "/v1/completions", body)
	if err != nil {
		return nil, err
	}
	return c.open(request, ticket.Generation, ticket.Incarnation)
}

// Resume reads a running or recently ended stream from the frame after the given one. Its
// errors are those of Start. If the engine does not know the generation, the error is a
// *RejectedError with status 404.
func (c *Client) Resume(ctx context.Context, address string, generation core.GenerationID, after core.Sequence, expect core.Incarnation) (*Stream, error) {
	request, err := newRequest(ctx, http.MethodGet, address, "/v1/streams/"+generation.String(), nil)
	if err != nil {
		return nil, err
	}
	if after > 0 {
		request.Header.Set(headerLastEvent, strconv.FormatUint(uint64(after), 10))
	}
	return c.open(request, generation, expect)
}

// open sends a request whose response is a stream, and checks the engine's incarnation.
func (c *Client) open(request *http.Request, generation core.GenerationID, expect core.Incarnation) (*Stream, error) {
	if expect != "" {
		request.Header.Set(headerExpect, string(expect))
	}
	response, sent, err := c.send(request)
	if err != nil && !sent {
		return nil, &UnsentError{Address: request.URL.Host, Err: err}
	}
	if err != nil {
		return nil, &BrokenStreamError{Generation: generation, Err: err}
	}
	running := core.Incarnation(response.Header.Get(headerIncarnation))
	if response.StatusCode != http.StatusOK {
		return nil, openError(response, expect, running)
	}
	if expect != "" && running != expect {
		closeBody(response)
		return nil, &IncarnationError{Expected: expect, Running: running}
	}
	return newStream(generation, running, response.Body), nil
}

// openError returns the error for a response that refuses a stream.
func openError(response *http.Response, expect, running core.Incarnation) error {
	defer closeBody(response)
	if response.StatusCode == http.StatusConflict {
		return &IncarnationError{Expected: expect, Running: running}
	}
	return rejection(response)
}

// rejection returns the error for a response with an error status.
func rejection(response *http.Response) *RejectedError {
	var body errorBody
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		body.Error.Type = "unknown"
	}
	return &RejectedError{Status: response.StatusCode, Type: body.Error.Type}
}

// send makes one call and reports whether a connection was made, so that bytes of the call
// may have reached the engine.
func (c *Client) send(request *http.Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err = c.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	return response, connected.Load(), err
}

// newRequest builds the HTTP request of a call. A nil body means none.
func newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, &UnsentError{Address: address, Err: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// closeBody closes the body of a response that is not read further.
func closeBody(response *http.Response) {
	_ = response.Body.Close() // the response is not used any more, so a failure does not matter
}
