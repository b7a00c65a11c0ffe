package callerapi

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
	"siskintide.example/siskintide/internal/snapshot"
)

const (
	testKey           = "key-of-a-team"
	chatURL           = "/v1/chat/completions"
	completionsURL    = "/v1/completions"
	streamRequestBody = `{"model":"m","prompt":"hello","seed":7,"stream":true}`
)

var testEventKey = []byte("0123456789abcdef0123456789abcdef")

func testView() *snapshot.Snapshot {
	digest := sha256.Sum256([]byte(testKey))
	return &snapshot.Snapshot{
		Self: core.Host{ID: "h1"},
		Catalog: core.NewCatalog(&core.Config{
			Models:   []core.Model{{ID: "m", MaxTokens: 100, QueueMS: 1000}},
			Services: []core.Service{{ID: "booking", NonIdempotentPaths: []string{"/book"}}},
			Classes:  []core.ClassSpec{{ID: "interactive", Priority: 1}},
			Teams:    []core.Team{{ID: "a", KeySHA256: []string{hex.EncodeToString(digest[:])}, Class: "interactive"}},
			Targets:  []core.Target{{ID: "t1", Address: "127.0.0.1:1", Model: "m", State: core.StateIn}},
		}),
	}
}

func newTestServer(t *testing.T, controller testController, engines relay.Engines, dependencies ...any) *httptest.Server {
	t.Helper()
	options := Options{
		Controller: controller, Engines: engines, EventKey: testEventKey, Clock: clockwork.NewRealClock(),
		Log: &log.Logger{Handler: discard.New()}, Metrics: noMetrics{},
	}
	for _, dependency := range dependencies {
		switch dependency := dependency.(type) {
		case ServiceClient:
			options.Services = dependency
		case ClaimExecutor:
			options.Claims = dependency
		case clockwork.Clock:
			options.Clock = dependency
		}
	}
	controller.prepare()
	server := httptest.NewServer(New(options))
	t.Cleanup(server.Close)
	return server
}

func call(t *testing.T, server *httptest.Server, method, path, body string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(data)
}

// readEvents returns the text and the event ids of a stream, and whether its end marker
// has arrived.
func readEvents(t *testing.T, body io.Reader) (text string, ids []string, done bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			done = done || ok
			continue
		}
		var chunk struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal([]byte(data), &chunk), data)
		for _, choice := range chunk.Choices {
			text += choice.Text + choice.Delta.Content
		}
	}
	return text, ids, done
}

func TestStreamIsCompleteAndResumesAfterEachEvent(t *testing.T) {
	controller := &fakeController{}
	server := newTestServer(t, controller, &fakeEngines{tokens: []string{"a ", "\"b\"\n", "ü", "d"}})
	text, ids, done := readEvents(t, call(t, server, "POST", completionsURL, streamRequestBody).Body)
	require.Equal(t, "a \"b\"\nüd", text)
	require.True(t, done)
	require.Len(t, ids, 4)
	require.Equal(t, core.Completed, (<-controller.closed).Result)
	for i, rest := range []string{"\"b\"\nüd", "üd", "d", ""} {
		repeated, _, done := readEvents(t, call(t, server, "POST", completionsURL, streamRequestBody, "Last-Event-ID", ids[i]).Body)
		require.Equal(t, rest, repeated)
		require.True(t, done)
		resumed, _, done := readEvents(t, call(t, server, "GET", "/v1/streams", "", "Last-Event-ID", ids[i]).Body)
		require.Equal(t, rest, resumed)
		require.True(t, done)
	}
}

func TestChatStreamResumesAsChat(t *testing.T) {
	server := newTestServer(t, &fakeController{}, &fakeEngines{tokens: []string{"a", "b"}})
	body := `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"stream_options":{"include_usage":true}}`
	stream, err := io.ReadAll(call(t, server, "POST", chatURL, body).Body)
	require.NoError(t, err)
	require.Contains(t, string(stream), `"delta":{"role":"assistant","content":"a"}`)
	require.Contains(t, string(stream), `"completion_tokens":2`)
	_, ids, _ := readEvents(t, bytes.NewReader(stream))
	rest, err := io.ReadAll(call(t, server, "GET", "/v1/streams", "", "Last-Event-ID", ids[0]).Body)
	require.NoError(t, err)
	require.Contains(t, string(rest), `"model":"m","choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"stop"}]`)
}

func TestNonStreamingResponse(t *testing.T) {
	controller := &fakeController{}
	server := newTestServer(t, controller, &fakeEngines{tokens: []string{"one ", "two"}})
	response := call(t, server, "POST", chatURL, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`)
	var body completionResponse
	require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
	require.Equal(t, "one two", body.Choices[0].Message.Content)
	require.Equal(t, "stop", body.Choices[0].FinishReason)
	require.Equal(t, core.Tokens(2), body.Usage.CompletionTokens)
}

func TestRefusedTicketSetsHTTPStatus(t *testing.T) {
	controller := &fakeController{refusal: &core.Refusal{Kind: core.RefusedQueueFull, Message: "full", Run: core.NotRun}}
	server := newTestServer(t, controller, &fakeEngines{tokens: []string{"a"}})
	requireRefusal(t, call(t, server, "POST", completionsURL, streamRequestBody), 429, core.RefusedQueueFull)
}

// TestRequestThatIsCompleteAfterTheHostLeaves guards against a request that a leaving host accepts because its head
// came before: it may run into the end of the grace period.
func TestRequestThatIsCompleteAfterTheHostLeaves(t *testing.T) {
	for _, path := range []string{completionsURL, "/services/booking/book"} {
		controller := &fakeController{}
		server := newTestServer(t, controller, &fakeEngines{tokens: []string{"a"}})
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: front\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", path, testKey, len(streamRequestBody))
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		line, err := reader.ReadString('\n') // the body is awaited, so the request has been identified
		require.NoError(t, err)
		require.Contains(t, line, "100 Continue")
		_, err = reader.ReadString('\n')
		require.NoError(t, err)
		controller.leaving.Store(true)
		_, err = io.WriteString(conn, streamRequestBody)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		requireRefusal(t, response, http.StatusServiceUnavailable, core.RefusedLeaving)
	}
}

// TestLeavingHost guards against a leaving host that accepts new requests or aborts running
// streams.
func TestLeavingHost(t *testing.T) {
	controller, engines := &fakeController{}, &fakeEngines{tokens: []string{"a", "b"}, hold: true, release: make(chan struct{})}
	server := newTestServer(t, controller, engines)
	running := call(t, server, "POST", completionsURL, streamRequestBody)
	controller.leaving.Store(true)
	requireRefusal(t, call(t, server, "POST", completionsURL, streamRequestBody), 503, core.RefusedLeaving)
	requireRefusal(t, call(t, server, "POST", "/services/booking/book", ""), 503, core.RefusedLeaving)
	close(engines.release)
	text, _, done := readEvents(t, running.Body)
	require.Equal(t, "ab", text)
	require.True(t, done)
	require.Equal(t, core.Completed, (<-controller.closed).Result)
}

// TestCallerDisconnects guards against goroutines and open tickets that remain after a caller
// has disconnected.
func TestCallerDisconnects(t *testing.T) {
	defer goleak.VerifyNone(t)
	for name, c := range map[string]struct {
		body   string
		result core.Result
	}{
		"stream that may be resumed": {streamRequestBody, core.Abandoned},
		"non-streaming request":      {`{"model":"m","prompt":"p"}`, core.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			controller := &fakeController{}
			server := newTestServer(t, controller, &fakeEngines{tokens: []string{"a", "b"}, hold: true})
			ctx, cancel := context.WithCancel(context.Background())
			request, err := http.NewRequestWithContext(ctx, "POST", server.URL+completionsURL, strings.NewReader(c.body))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+testKey)
			if strings.Contains(c.body, "stream") {
				response, err := server.Client().Do(request)
				require.NoError(t, err)
				_, err = bufio.NewReader(response.Body).ReadString('\n')
				require.NoError(t, err)
				cancel()
				_ = response.Body.Close()
			} else {
				finished := make(chan struct{})
				go func() {
					defer close(finished)
					_, _ = server.Client().Do(request)
				}()
				<-controller.acquired
				cancel()
				<-finished
			}
			require.Equal(t, c.result, (<-controller.closed).Result)
			server.Client().CloseIdleConnections()
			server.Close()
		})
	}
}
