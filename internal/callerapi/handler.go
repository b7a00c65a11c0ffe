package callerapi

import (
	"net/http"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// Handler serves the HTTP API for callers. It is safe for concurrent use.
type Handler struct {
	options Options
	relay   *relay.Relay
	budget  *relay.RetryBudget
	mux     *http.ServeMux
}

// New returns the HTTP handler for callers.
func New(options Options) http.Handler {
	h := &Handler{options: options, mux: http.NewServeMux(), budget: relay.NewRetryBudget()}
	h.relay = relay.New(relay.Options{
		Controller: options.Controller,
		Engines:    options.Engines,
		Clock:      options.Clock,
		Metrics:    options.Metrics,
		Budget:     h.budget,
	})
	h.mux.HandleFunc("POST /v1/completions", h.handle(h.completions))
	h.mux.HandleFunc("POST /v1/chat/completions", h.handle(h.chatCompletions))
	h.mux.HandleFunc("GET /v1/streams", h.handle(h.resumeByEventID))
	h.mux.HandleFunc("GET /v1/models", h.handle(h.models))
	h.mux.HandleFunc("/services/{name}/{path...}", h.handle(h.callService))
	h.mux.HandleFunc("/", h.unknownPath)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// handle returns an HTTP handler that identifies the caller, calls next and writes the
// refusal, if there is one, as the response.
func (h *Handler) handle(next func(http.ResponseWriter, *http.Request, *caller) *core.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, refusal := h.identify(r)
		if refusal == nil {
			refusal = next(w, r, from)
		}
		if refusal != nil {
			h.refuse(w, from, refusal)
		}
	}
}

func (h *Handler) unknownPath(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, &caller{}, badRequest("unknown path or method: %s %.80s", r.Method, r.URL.Path))
}
