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

// maxAnswerBytes bounds an answer; the status of 400 hosts stays well below.
const maxAnswerBytes = 32 << 20

// Client calls the first of several hosts that can help.
type Client struct {
	addresses []string // IP and port of admin listeners
	key       string   // operator key
	http      *http.Client
}

// New returns a client that tries the hosts in the given order.
func New(addresses []string, key string, client *http.Client) *Client {
	return &Client{addresses: addresses, key: key, http: client}
}

// Plan asks for the plan of an intent. It changes nothing.
func (c *Client) Plan(ctx context.Context, intent plan.Intent) (*plan.Plan, error) {
	return call[plan.Plan](ctx, c, http.MethodPost, operatorapi.PathPlan, intent)
}

// Confirm confirms a plan that the operator has read.
func (c *Client) Confirm(ctx context.Context, p *plan.Plan) (*operatorapi.ConfirmResponse, error) {
	path := operatorapi.PathConfirm
	if p.Base == 0 {
		path = operatorapi.PathInit
	}
	confirmation := operatorapi.ConfirmRequest{Plan: p.ID, Base: p.Base, Intent: p.Intent}
	return call[operatorapi.ConfirmResponse](ctx, c, http.MethodPost, path, confirmation)
}

// Status asks a host what it knows about the deployment.
func (c *Client) Status(ctx context.Context) (*operatorapi.Status, error) {
	return call[operatorapi.Status](ctx, c, http.MethodGet, operatorapi.PathStatus, nil)
}

// AcceptedConfig asks for the configuration in force, to be carried to another host.
func (c *Client) AcceptedConfig(ctx context.Context) (*operatorapi.SealedConfig, error) {
	return call[operatorapi.SealedConfig](ctx, c, http.MethodGet, operatorapi.PathAccepted, nil)
}

// Push hands a carried configuration to a host.
func (c *Client) Push(ctx context.Context, carried *operatorapi.SealedConfig) (*operatorapi.PushResponse, error) {
	return call[operatorapi.PushResponse](ctx, c, http.MethodPost, operatorapi.PathPush, carried)
}

// call tries the hosts in turn. It goes on to the next when a host does not answer or
// cannot help because it is cut off. The error wraps an *operatorapi.Failure, an
// *AnswerError or an *UnreachableError.
func call[T any](ctx context.Context, c *Client, method, path string, in any) (*T, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode call of %s: %w", path, err)
	}
	var last error
	for _, address := range c.addresses {
		out := new(T)
		last = c.one(ctx, method, address, path, body, out)
		if last == nil {
			return out, nil
		}
		if !tryNext(last) {
			return nil, last
		}
	}
	return nil, last
}

// tryNext reports whether another host may do better.
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

func (c *Client) one(ctx context.Context, method, address, path string, body []byte, out any) error {
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(answer, out); err != nil {
			return fmt.Errorf("read answer of %s: %w", address, err)
		}
		return nil
	}
	failure := &operatorapi.Failure{}
	if err := json.Unmarshal(answer, failure); err != nil || failure.Type == "" {
		return fmt.Errorf("read answer: %w", &UnexpectedResponseError{Address: address, Status: response.StatusCode})
	}
	return fmt.Errorf("%s: %w", address, failure)
}
