package callerapi

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/core"
)

// TestRefusals guards against invalid requests that acquire a ticket, leak a goroutine or get
// no typed refusal that says that they did not run.
func TestRefusals(t *testing.T) {
	defer goleak.VerifyNone(t)
	controller := &fakeController{}
	server := newTestServer(t, controller, &fakeEngines{tokens: []string{"a", "b"}})
	_, ids, _ := readEvents(t, call(t, server, "POST", completionsURL, streamRequestBody).Body)
	<-controller.closed
	controller.granted.Store(0)
	forged := forge(ids[0])
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		kind                     core.RefusalKind
	}{
		{"broken JSON", "POST", completionsURL, `{"model":`, nil, 400, core.RefusedBadRequest},
		{"wrong type", "POST", completionsURL, `{"model":"m","prompt":3}`, nil, 400, core.RefusedBadRequest},
		{"empty body", "POST", chatURL, ``, nil, 400, core.RefusedBadRequest},
		{"100 MB body", "POST", completionsURL, `{"model":"m","prompt":"` + strings.Repeat("x", 100<<20) + `"}`, nil, 413, core.RefusedTooLarge},
		{"unknown model", "POST", completionsURL, `{"model":"x","prompt":"p"}`, nil, 404, core.RefusedUnknownModel},
		{"no key", "POST", completionsURL, streamRequestBody, []string{"Authorization", ""}, 401, core.RefusedUnauthorized},
		{"bad key", "POST", completionsURL, streamRequestBody, []string{"Authorization", "Bearer nope"}, 401, core.RefusedUnauthorized},
		{"huge max_tokens", "POST", completionsURL, `{"model":"m","prompt":"p","max_tokens":1000000000}`, nil, 400, core.RefusedBadRequest},
		{"overflowing max_tokens", "POST", completionsURL, `{"model":"m","prompt":"p","max_tokens":1e30}`, nil, 400, core.RefusedBadRequest},
		{"negative max_tokens", "POST", completionsURL, `{"model":"m","prompt":"p","max_tokens":-1}`, nil, 400, core.RefusedBadRequest},
		{"several choices", "POST", completionsURL, `{"model":"m","prompt":"p","n":2}`, nil, 400, core.RefusedBadRequest},
		{"image part", "POST", chatURL, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, core.RefusedBadRequest},
		{"unknown class", "POST", completionsURL, streamRequestBody, []string{"Request-Class", "x"}, 400, core.RefusedBadRequest},
		{"malformed event id", "POST", completionsURL, streamRequestBody, []string{"Last-Event-ID", "17"}, 400, core.RefusedBadRequest},
		{"forged event id", "POST", completionsURL, streamRequestBody, []string{"Last-Event-ID", forged}, 400, core.RefusedBadRequest},
		{"event id of another request", "POST", completionsURL, `{"model":"m","prompt":"other","stream":true}`, []string{"Last-Event-ID", ids[0]}, 400, core.RefusedBadRequest},
		{"no event id", "GET", "/v1/streams", "", nil, 400, core.RefusedBadRequest},
		{"unknown path", "GET", "/v2", "", nil, 400, core.RefusedBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := call(t, server, c.method, c.path, c.body, c.headers...)
			requireRefusal(t, response, c.status, c.kind)
			require.Zero(t, controller.granted.Load())
		})
	}
	server.Client().CloseIdleConnections()
	server.Close()
}

func requireRefusal(t *testing.T, response *http.Response, status int, kind core.RefusalKind) {
	t.Helper()
	var body errorBody
	require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
	require.Equal(t, status, response.StatusCode)
	require.Equal(t, kind, body.Error.Type)
	require.Equal(t, core.NotRun, body.Error.Run)
	require.NotEmpty(t, body.Error.Message)
}

// forge returns a valid event id with another authentication code.
func forge(id string) string {
	if strings.HasSuffix(id, "AA") {
		return id[:len(id)-2] + "BA"
	}
	return id[:len(id)-2] + "AA"
}
