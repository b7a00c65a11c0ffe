package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/relay"
)

// tokenTransport responds to every start of a stream with the given number of tokens.
type tokenTransport struct{ tokens int }

func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body struct {
		ID core.GenerationID `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	header := http.Header{"Engine-Incarnation": {"i1"}}
	return &http.Response{StatusCode: 200, Header: header, Body: io.NopCloser(&tokenBody{id: body.ID.String(), tokens: t.tokens})}, nil
}

// tokenBody generates the events of a stream as they are read.
type tokenBody struct {
	id     string
	at     int
	tokens int
	rest   []byte
}

func (b *tokenBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		if b.at > b.tokens {
			return 0, io.EOF
		}
		b.at++
		b.rest = b.event(b.rest[:0])
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *tokenBody) event(dst []byte) []byte {
	if b.at > b.tokens {
		return append(dst, "data: [DONE]\n\n"...)
	}
	finish := "null"
	if b.at == b.tokens {
		finish = `"stop"`
	}
	number := strconv.Itoa(b.at)
	for _, part := range []string{"id: ", number, "\ndata: {\"id\":\"", b.id, `","choices":[{"index":0,"text":"token ","finish_reason":`, finish, `}],"sequence":`, number, "}\n\n"} {
		dst = append(dst, part...)
	}
	return dst
}

// discardWriter is a response writer that discards all data.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Flush()                      {}

func newBenchHandler(engines relay.Engines, granted int) http.Handler {
	controller := &fakeController{view: testView(), closed: make(chan core.Outcome, granted), acquired: make(chan struct{}, granted)}
	controller.view.Catalog.Model("m").MaxTokens = 1 << 30
	return New(Options{Controller: controller, Engines: engines, EventKey: testEventKey, Clock: clockwork.NewRealClock(), Metrics: noMetrics{}})
}

// BenchmarkTokens relays the tokens of one stream, from the bytes sent by the engine to
// the bytes sent to the caller, without sockets. Run it with -cpu 1 to measure one core.
func BenchmarkTokens(b *testing.B) {
	handler := newBenchHandler(relay.EngineClient{Client: engine.NewClient(&http.Client{Transport: tokenTransport{tokens: b.N}})}, 1)
	request, err := http.NewRequestWithContext(context.Background(), "POST", chatURL, bytes.NewReader([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`)))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	b.ReportAllocs()
	b.ResetTimer()
	handler.ServeHTTP(&discardWriter{header: http.Header{}}, request)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
