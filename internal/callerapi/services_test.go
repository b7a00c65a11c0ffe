package callerapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/claims"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/service"
)

// fakeServices fails the first calls with the given errors and echoes the body of later
// calls.
type fakeServices struct {
	errs  []error
	calls atomic.Int64
}

func (s *fakeServices) Do(_ context.Context, _ string, call *http.Request) (*http.Response, error) {
	n := int(s.calls.Add(1))
	if n <= len(s.errs) {
		return nil, s.errs[n-1]
	}
	body, _ := io.ReadAll(call.Body)
	recorder := httptest.NewRecorder()
	recorder.Header().Set("Seen", call.Method+" "+call.URL.RequestURI()+" "+call.Header.Get("Authorization")+call.Header.Get("X-Own"))
	recorder.WriteHeader(http.StatusCreated)
	_, _ = recorder.Write(body)
	return recorder.Result(), nil
}

// fakeClaims sends every call and records its key.
type fakeClaims struct {
	keys chan string
}

func (c *fakeClaims) Do(ctx context.Context, job claims.Job, reply func(claims.Result)) {
	c.keys <- job.Key
	answer, err := job.Send(ctx, "127.0.0.1:1")
	if err != nil {
		reply(claims.Result{Refusal: &core.Refusal{Kind: core.RefusedOutcomeUnknown, Run: core.RunUnknown}})
		return
	}
	reply(claims.Result{Answer: &answer})
}

func TestServiceCalls(t *testing.T) {
	unsent := &service.UnsentError{Err: io.EOF}
	lost := &service.AmbiguousError{Err: io.EOF}
	for _, c := range []struct {
		name, method, path, key string
		errs                    []error
		status                  int
		calls                   int64
		claimed                 bool
		run                     core.RunState
	}{
		{"passed through", "POST", "/status/a%2Fb?x=1", "", nil, 201, 1, false, ""},
		{"keyed", "POST", "/book/1", "k", nil, 201, 1, true, ""},
		{"keyed, path with dots", "POST", "/x/%2e%2e/book", "k", nil, 201, 1, true, ""},
		{"keyed but safe", "GET", "/book/1", "k", nil, 201, 1, false, ""},
		{"no key: one attempt, not reached", "POST", "/book/1", "", []error{unsent}, 502, 1, false, core.NotRun},
		{"no key: one attempt, lost", "POST", "/book/1", "", []error{lost}, 502, 1, false, core.RunUnknown},
		{"not reached, sent elsewhere", "POST", "/status", "", []error{unsent, unsent}, 201, 3, false, ""},
		{"lost, not sent again", "POST", "/status", "", []error{lost}, 502, 1, false, core.RunUnknown},
		{"lost but safe, sent again", "GET", "/status", "", []error{lost}, 201, 2, false, ""},
		{"never reached", "GET", "/status", "", []error{unsent, unsent, unsent, unsent}, 502, 3, false, core.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			services, claimed := &fakeServices{errs: c.errs}, &fakeClaims{keys: make(chan string, 1)}
			controller := &fakeController{}
			server := newTestServer(t, controller, nil, services, claimed)
			response := call(t, server, c.method, "/services/booking"+c.path, "body", "Idempotency-Key", c.key, "X-Own", "own", "Connection", "X-Hop", "X-Hop", "1")
			data, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, response.StatusCode, string(data))
			require.Equal(t, c.calls, services.calls.Load())
			require.Equal(t, c.claimed, len(claimed.keys) == 1)
			require.Equal(t, int(controller.granted.Load()), len(controller.closed), "every ticket is closed")
			if c.run != "" {
				require.Contains(t, string(data), `"run":"`+string(c.run)+`"`)
				return
			}
			require.Equal(t, "body", string(data))
			require.Equal(t, c.method+" "+c.path+" own", response.Header.Get("Seen"))
		})
	}
}

func TestServiceCallIsRefused(t *testing.T) {
	server := newTestServer(t, &fakeController{}, nil)
	requireRefusal(t, call(t, server, "POST", "/services/x/y", ""), 404, core.RefusedUnknownService)
	long := strings.Repeat("k", maxIdempotencyKeyBytes+1)
	requireRefusal(t, call(t, server, "POST", "/services/booking/book", "", "Idempotency-Key", long), 400, core.RefusedBadRequest)
}
