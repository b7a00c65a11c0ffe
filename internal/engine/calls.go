package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"siskintide.example/siskintide/internal/core"
)

// Cancel ends a generation. It is idempotent: a generation that the engine does not know
// counts as cancelled.
func (c *Client) Cancel(ctx context.Context, address string, generation core.GenerationID) error {
	request, err := newRequest(ctx, http.MethodDelete, address, "/v1/streams/"+generation.String(), nil)
	if err != nil {
		return err
	}
	return c.call(request, nil)
}

// LoadReport reads the engine's report of its load.
func (c *Client) LoadReport(ctx context.Context, target core.TargetID, address string) (core.LoadReport, error) {
	var body loadBody
	if err := c.get(ctx, address, "/v1/load", &body); err != nil {
		return core.LoadReport{}, err
	}
	return body.report(target), nil
}

// State reads the engine's role and models.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var state State
	err := c.get(ctx, address, "/v1/state", &state)
	return state, err
}

// CacheEvents reads the cache events that follow the given number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CachePage, error) {
	var page CachePage
	err := c.get(ctx, address, "/v1/cache?after="+strconv.FormatUint(after, 10), &page)
	return page, err
}

// Order sends an order. An engine that checks fences refuses an order with an old fence; the
// error is then a *RejectedError with status 409 and type "stale_fence".
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	request, err := newRequest(ctx, http.MethodPost, address, "/v1/orders", body)
	if err != nil {
		return err
	}
	return c.call(request, nil)
}

// get makes a GET call and decodes the JSON response into result.
func (c *Client) get(ctx context.Context, address, path string, result any) error {
	request, err := newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	return c.call(request, result)
}

// call makes one call and decodes the JSON response into result, unless result is nil. Its
// errors are of type *UnsentError, *RejectedError or *CallError.
func (c *Client) call(request *http.Request, result any) error {
	response, sent, err := c.send(request)
	if err != nil && !sent {
		return &UnsentError{Address: request.URL.Host, Err: err}
	}
	if err != nil {
		return callError(request, err)
	}
	defer closeBody(response)
	if response.StatusCode >= http.StatusMultipleChoices {
		return rejection(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return callError(request, err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return callError(request, err)
	}
	return nil
}

func callError(request *http.Request, err error) *CallError {
	return &CallError{Address: request.URL.Host, Call: request.Method + " " + request.URL.Path, Err: err}
}
