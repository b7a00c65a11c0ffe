package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	signed bool // with the signature of the runner
	body   string
	err    error // the answer did not end as HTTP requires
	took   time.Duration
}

// ask sends one request and reads the whole answer.
func (s *session) ask(address, method, path, id string, deadline time.Duration, body []byte, prompt prompt) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = hostName
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if prompt.usage != "" {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Usage", prompt.usage)
		request.Header.Set("Prompt-Prefix", prompt.prefix)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	s.record.add("send %s %s %s", id, method, path)
	response, err := client.Do(request)
	if err != nil {
		s.record.add("answer %s none: %v", id, err)
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, signed: response.Header.Get("Response-Signature") == signature(id), body: string(text), err: err, took: time.Since(began)}
	s.record.add("answer %s %d signed=%v bytes=%d complete=%v after %d ms", id, a.status, a.signed, len(a.body), err == nil, a.took.Milliseconds())
	return a
}
