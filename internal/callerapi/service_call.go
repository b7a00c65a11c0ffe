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
	// headerIdempotencyKey carries the key that identifies a non-idempotent call.
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyBytes limits an idempotency key.
	maxIdempotencyKeyBytes = 256
	// defaultServiceTimeout is the timeout of calls to a service that declares none.
	defaultServiceTimeout = 30 * time.Second
	// serviceQueueBudget is the maximum wait for a ticket for a service.
	serviceQueueBudget = 2 * time.Second
)

// unforwardedHeaders lists the hop-by-hop headers, and Authorization, since the caller's
// API key must not reach a service.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serviceCall is one validated call to a plain service.
type serviceCall struct {
	service        *core.Service
	method         string
	path           string // escaped path below the service's name, with the query
	header         http.Header
	body           []byte
	idempotencyKey string
	nonIdempotent  bool
}

// newServiceCall validates a call and reads its body.
func newServiceCall(w http.ResponseWriter, r *http.Request, from *caller) (serviceCall, *core.Refusal) {
	name := r.PathValue("name")
	service := from.view.Catalog.Service(core.ServiceID(name))
	if service == nil {
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
		service:        service,
		method:         r.Method,
		path:           forwardedPath(r),
		header:         forwardedHeader(r.Header),
		body:           body,
		idempotencyKey: key,
		nonIdempotent:  !safeMethod(r.Method) && hasPathPrefix("/"+r.PathValue("path"), service.NonIdempotentPaths),
	}, nil
}

// forwardedPath returns the path below the service's name and the query, escaped as in the
// request.
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
	forwarded := header.Clone()
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// hasPathPrefix reports whether the path, as given or cleaned by path.Clean, has one of the
// prefixes.
func hasPathPrefix(rawPath string, prefixes []string) bool {
	cleanPath := path.Clean(rawPath)
	for _, prefix := range prefixes {
		if strings.HasPrefix(rawPath, prefix) || strings.HasPrefix(cleanPath, prefix) {
			return true
		}
	}
	return false
}

// request returns the HTTP request for the service at the given address.
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

func (c serviceCall) ticketRequest(from *caller) core.TicketRequest {
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

// bodyHash hashes the method, path and body of the call, to detect a key that is used again
// for another call.
func (c serviceCall) bodyHash() [16]byte {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%s %s\n", c.method, c.path) // never returns an error
	_, _ = digest.Write(c.body)
	return [16]byte(digest.Sum(nil)[:16])
}
