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
	// headerIncarnation names the engine's incarnation in an answer.
	headerIncarnation = "Engine-Incarnation"
	// headerExpect names the incarnation that a request is meant for.
	headerExpect = "Engine-Expect-Incarnation"
	// headerLastEvent names the last sequence number that a resuming reader has.
	headerLastEvent = "Last-Event-ID"
)

// maxAnswerBytes bounds an answer that is not a stream, and so the memory for reading it.
const maxAnswerBytes = 4 << 20

// Client calls model engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses the given HTTP client, which must have no overall
// timeout: streams last as long as the generation. Callers bound calls by their contexts.
func NewClient(client *http.Client) *Client {
	return &Client{http: client}
}

// Start asks the ticket's engine for a new stream. It returns a *UnsentError,
// *RejectedError or *IncarnationError when the engine does not run the request, and a
// *BrokenStreamError when it may.
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

// Resume reads a running or recently ended stream again, from the frame after the given
// one. Its failures are those of Start; an engine that does not know the generation
// answers with a *RejectedError of status 404.
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

// open sends a request whose answer is a stream.
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
		return nil, refusal(response, expect, running)
	}
	if expect != "" && running != expect {
		closeBody(response)
		return nil, &IncarnationError{Expected: expect, Running: running}
	}
	return newStream(generation, running, response.Body), nil
}

// refusal reads why the engine refused a stream.
func refusal(response *http.Response, expect, running core.Incarnation) error {
	defer closeBody(response)
	if response.StatusCode == http.StatusConflict {
		return &IncarnationError{Expected: expect, Running: running}
	}
	return rejection(response)
}

// rejection reads the engine's error type from a refusal.
func rejection(response *http.Response) *RejectedError {
	var body errorBody
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		body.Error.Type = "unknown"
	}
	return &RejectedError{Status: response.StatusCode, Type: body.Error.Type}
}

// send makes one call and reports whether a byte of it may have reached the engine.
func (c *Client) send(request *http.Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err = c.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	return response, connected.Load(), err
}

// newRequest builds a call; a nil body means none.
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

// closeBody ends an answer that is not read further.
func closeBody(response *http.Response) {
	_ = response.Body.Close() // the answer is no longer of use, so a failure changes nothing
}
