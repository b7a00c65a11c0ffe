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

// textEngine is a transport that answers every start with a stream of the given length.
type textEngine struct{ tokens int }

func (e textEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	var body struct {
		ID core.GenerationID `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	header := http.Header{"Engine-Incarnation": {"i1"}}
	return &http.Response{StatusCode: 200, Header: header, Body: io.NopCloser(&textBody{id: body.ID.String(), tokens: e.tokens})}, nil
}

// textBody writes the events of a stream as they are read.
type textBody struct {
	id     string
	at     int
	tokens int
	rest   []byte
}

func (b *textBody) Read(p []byte) (int, error) {
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

func (b *textBody) event(dst []byte) []byte {
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

// nullWriter is a caller that takes everything at no cost.
type nullWriter struct{ header http.Header }

func (w *nullWriter) Header() http.Header         { return w.header }
func (w *nullWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *nullWriter) WriteHeader(int)             {}
func (w *nullWriter) Flush()                      {}

func benchFront(engines relay.Engines, granted int) http.Handler {
	desk := &fakeDesk{view: testView(), closed: make(chan core.Outcome, granted), acquired: make(chan struct{}, granted)}
	desk.view.Catalog.Model("m").MaxTokens = 1 << 30
	return New(Options{Controller: desk, Engines: engines, EventKey: testEventKey, Clock: clockwork.NewRealClock(), Metrics: noMetrics{}})
}

// BenchmarkTokens relays tokens of one stream from an engine's bytes to a caller's bytes,
// without sockets. Run it with -cpu 1 for the figure of one core.
func BenchmarkTokens(b *testing.B) {
	handler := benchFront(relay.EngineClient{Client: engine.NewClient(&http.Client{Transport: textEngine{tokens: b.N}})}, 1)
	request, err := http.NewRequestWithContext(context.Background(), "POST", chatURL, bytes.NewReader([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`)))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	b.ReportAllocs()
	b.ResetTimer()
	handler.ServeHTTP(&nullWriter{header: http.Header{}}, request)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
