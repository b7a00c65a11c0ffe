package callerapi

import (
	"net/http"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// Front answers callers. It is safe for concurrent use.
type Front struct {
	options Options
	relay   *relay.Relay
	budget  *relay.RetryBudget
	mux     *http.ServeMux
}

// New returns the callers' HTTP handler.
func New(options Options) http.Handler {
	f := &Front{options: options, mux: http.NewServeMux(), budget: relay.NewRetryBudget()}
	f.relay = relay.New(relay.Options{
		Controller: options.Controller,
		Engines:    options.Engines,
		Clock:      options.Clock,
		Metrics:    options.Metrics,
		Budget:     f.budget,
	})
	f.mux.HandleFunc("POST /v1/completions", f.handle(f.completions))
	f.mux.HandleFunc("POST /v1/chat/completions", f.handle(f.chatCompletions))
	f.mux.HandleFunc("GET /v1/streams", f.handle(f.streams))
	f.mux.HandleFunc("GET /v1/models", f.handle(f.models))
	f.mux.HandleFunc("/services/{name}/{path...}", f.handle(f.services))
	f.mux.HandleFunc("/", f.unknownPath)
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// handle finds the caller and renders the refusal that a handler returns.
func (f *Front) handle(next func(http.ResponseWriter, *http.Request, *caller) *core.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, refusal := f.identify(r)
		if refusal == nil {
			refusal = next(w, r, from)
		}
		if refusal != nil {
			f.refuse(w, from, refusal)
		}
	}
}

func (f *Front) unknownPath(w http.ResponseWriter, r *http.Request) {
	f.refuse(w, &caller{}, badRequest("unknown path or method: %s %.80s", r.Method, r.URL.Path))
}
