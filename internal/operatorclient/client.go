package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operatorapi"
)

// maxResponseBytes bounds the size of a response; the status of 400 hosts is well below it.
const maxResponseBytes = 32 << 20

// Client sends each call to its hosts in order until one of them can handle it.
type Client struct {
	addresses []string // IP and port of the admin listeners
	key       string   // operator key
	http      *http.Client
}

// New returns a client that tries the hosts in the given order.
func New(addresses []string, key string, client *http.Client) *Client {
	return &Client{addresses: addresses, key: key, http: client}
}

// Plan requests a plan for an intent. It changes nothing.
func (c *Client) Plan(ctx context.Context, intent plan.Intent) (*plan.Plan, error) {
	return call[plan.Plan](ctx, c, http.MethodPost, operatorapi.PathPlan, intent)
}

// Confirm confirms a plan that the operator has reviewed.
func (c *Client) Confirm(ctx context.Context, p *plan.Plan) (*operatorapi.ConfirmResponse, error) {
	path := operatorapi.PathConfirm
	if p.Base == 0 {
		path = operatorapi.PathInit
	}
	confirmation := operatorapi.ConfirmRequest{Plan: p.ID, Base: p.Base, Intent: p.Intent}
	return call[operatorapi.ConfirmResponse](ctx, c, http.MethodPost, path, confirmation)
}

// Status requests the state of the deployment as seen by one host.
func (c *Client) Status(ctx context.Context) (*operatorapi.Status, error) {
	return call[operatorapi.Status](ctx, c, http.MethodGet, operatorapi.PathStatus, nil)
}

// AcceptedConfig requests the configuration in force, sealed so that it can be pushed to
// another host.
func (c *Client) AcceptedConfig(ctx context.Context) (*operatorapi.SealedConfig, error) {
	return call[operatorapi.SealedConfig](ctx, c, http.MethodGet, operatorapi.PathAccepted, nil)
}

// Push sends a sealed configuration to a host.
func (c *Client) Push(ctx context.Context, sealed *operatorapi.SealedConfig) (*operatorapi.PushResponse, error) {
	return call[operatorapi.PushResponse](ctx, c, http.MethodPost, operatorapi.PathPush, sealed)
}

// call tries the hosts in order. It tries the next host if one does not respond or cannot
// handle the call without the platform. The error wraps an *operatorapi.Failure, an
// *UnexpectedResponseError or an *UnreachableError.
func call[T any](ctx context.Context, c *Client, method, path string, in any) (*T, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode call of %s: %w", path, err)
	}
	var last error
	for _, address := range c.addresses {
		out := new(T)
		last = c.callHost(ctx, method, address, path, body, out)
		if last == nil {
			return out, nil
		}
		if !tryNext(last) {
			return nil, last
		}
	}
	return nil, last
}

// tryNext reports whether another host may succeed after the error.
func tryNext(err error) bool {
	var failure *operatorapi.Failure
	if !errors.As(err, &failure) {
		return true
	}
	switch failure.Type {
	case operatorapi.PlatformUnavailable, operatorapi.OutcomeUnknown, operatorapi.NotInitialised:
		return true
	}
	return false
}

func (c *Client) callHost(ctx context.Context, method, address, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, &UnreachableError{Addresses: c.addresses, Err: err})
	}
	defer func() { _ = response.Body.Close() }()
	return decode(address, response, out)
}

func decode(address string, response *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, out); err != nil {
			return fmt.Errorf("read answer of %s: %w", address, err)
		}
		return nil
	}
	failure := &operatorapi.Failure{}
	if err := json.Unmarshal(body, failure); err != nil || failure.Type == "" {
		return fmt.Errorf("read answer: %w", &UnexpectedResponseError{Address: address, Status: response.StatusCode})
	}
	return fmt.Errorf("%s: %w", address, failure)
}
