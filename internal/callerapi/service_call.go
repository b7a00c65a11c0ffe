package callerapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"path"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// headerIdempotencyKey identifies a call that may not be repeated.
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyBytes bounds a key.
	maxIdempotencyKeyBytes = 256
	// defaultServiceTimeout bounds a call of a service that declares no timeout.
	defaultServiceTimeout = 30 * time.Second
	// serviceQueueBudget is the longest wait for a service's ticket.
	serviceQueueBudget = 2 * time.Second
)

// hopHeaders lists the headers that concern one connection only, and the caller's key,
// which is no concern of a service.
var hopHeaders = []string{
	"Authorization", "Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serviceCall is one checked call of a plain service.
type serviceCall struct {
	service      *core.Service
	method       string
	path         string // escaped, with the query
	header       http.Header
	body         []byte
	key          string
	unrepeatable bool
}

// newServiceCall checks a call and reads its body.
func newServiceCall(w http.ResponseWriter, r *http.Request, from *caller) (serviceCall, *core.Refusal) {
	name := r.PathValue("name")
	declared := from.view.Catalog.Service(core.ServiceID(name))
	if declared == nil {
		return serviceCall{}, &core.Refusal{Kind: core.RefusedUnknownService, Message: "unknown service", Run: core.NotRun}
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return serviceCall{}, badRequest("the Idempotency-Key exceeds %d bytes", maxIdempotencyKeyBytes)
	}
	body, refusal := readBody(w, r, maxBodyBytes)
	if refusal != nil {
		return serviceCall{}, refusal
	}
	return serviceCall{
		service:      declared,
		method:       r.Method,
		path:         forwardedPath(r),
		header:       forwardedHeader(r.Header),
		body:         body,
		key:          key,
		unrepeatable: !safeMethod(r.Method) && hasPrefix("/"+r.PathValue("path"), declared.NonIdempotentPaths),
	}, nil
}

// forwardedPath returns the path and query below the service's name, as the caller escaped them.
func forwardedPath(r *http.Request) string {
	rest := strings.SplitN(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/", 3)
	forwarded := "/"
	if len(rest) == 3 {
		forwarded += rest[2]
	}
	if r.URL.RawQuery != "" {
		forwarded += "?" + r.URL.RawQuery
	}
	return forwarded
}

func forwardedHeader(header http.Header) http.Header {
	kept := header.Clone()
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// hasPrefix reports whether the path, as written or in its shortest form, has one of the prefixes.
func hasPrefix(written string, prefixes []string) bool {
	shortest := path.Clean(written)
	for _, prefix := range prefixes {
		if strings.HasPrefix(written, prefix) || strings.HasPrefix(shortest, prefix) {
			return true
		}
	}
	return false
}

// request builds the call to the service at an address.
func (c serviceCall) request(ctx context.Context, address string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	request.Header = c.header.Clone()
	return request, nil
}

func (c serviceCall) timeout() time.Duration {
	if c.service.TimeoutMS <= 0 {
		return defaultServiceTimeout
	}
	return time.Duration(c.service.TimeoutMS) * time.Millisecond
}

func (c serviceCall) demand(from *caller) core.TicketRequest {
	return core.TicketRequest{
		EntryHost:   from.view.Self.ID,
		Team:        from.team,
		Pool:        core.ServicePool(c.service.ID),
		Class:       from.class.ID,
		Priority:    from.class.Priority,
		MaxTokens:   1,
		QueueBudget: serviceQueueBudget,
	}
}

// bodyHash identifies the call's content for repeats of its key.
func (c serviceCall) bodyHash() [16]byte {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%s %s\n", c.method, c.path) // a hash takes every write
	_, _ = digest.Write(c.body)
	return [16]byte(digest.Sum(nil)[:16])
}
