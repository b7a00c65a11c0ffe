package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// apiKey is the key of the only tenant.
const apiKey = "xd9dnn2ctnfzs989anu6"

// newRequest returns a request of a client.
func newRequest(ctx context.Context, method, front, path, id string, deadline time.Duration, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	request.Host = platformtest.RouteHostname
	request.Header.Set(platformtest.HeaderAttemptID, id)
	request.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	return request, nil
}

// send sends a request and reads its answer.
func send(client *http.Client, request *http.Request) answer {
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, signature: response.Header.Get(platformtest.HeaderSignature), body: body, err: err}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
}
