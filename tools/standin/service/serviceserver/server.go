package serviceserver

import (
	"encoding/json"
	"io"
	"net/http"

	"siskintide.example/siskintide/tools/standin/eventloop"
	"siskintide.example/siskintide/tools/standin/fault"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 1 << 20

// Server serves calls of a plain service.
type Server struct {
	options Options
	mux     *http.ServeMux
	loop    *eventloop.Loop[*state]
}

// New starts a stand-in. Close ends its event loop.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{options: options, mux: http.NewServeMux(), loop: eventloop.NewPassive(newState(options))}
	s.mux.HandleFunc("GET /healthz", s.getHealth)
	s.mux.HandleFunc("GET /stand-in/runs", s.getRuns)
	s.mux.HandleFunc("POST /stand-in/fault", s.postFault)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// Close ends the event loop. Connections of later requests are aborted.
func (s *Server) Close() { s.loop.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns the counts of the calls that ran so far.
func (s *Server) Runs() Runs {
	var runs Runs
	s.loop.Do(func(st *state) { runs = st.snapshot() })
	return runs
}

// InjectFault starts a fault. FaultKill crashes the process at once.
func (s *Server) InjectFault(spec fault.Spec) {
	s.loop.Do(func(st *state) {
		if spec.Kind == FaultKill {
			st.crash()
			return
		}
		st.faults.Apply(spec, s.options.Clock.Now())
	})
}

// do runs an action of a request in the event loop. It aborts the connection after Close.
func (s *Server) do(action func(*state)) {
	if !s.loop.Do(action) {
		panic(http.ErrAbortHandler)
	}
}

// serve runs one call and responds with its path and body.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := &call{r: r, body: body}
	s.do(func(st *state) { st.beginCall(c) })
	if c.drop {
		panic(http.ErrAbortHandler)
	}
	s.wait(c)
	s.do(func(st *state) { st.endCall(c) })
	writeJSON(w, map[string]string{"path": r.URL.Path, "body": string(body)})
}

// wait blocks for the duration of a call and aborts the connection if the process crashes.
// A call continues if its client disconnects.
func (s *Server) wait(c *call) {
	select {
	case <-c.crashed:
		panic(http.ErrAbortHandler)
	default:
	}
	if c.latency == 0 {
		return
	}
	select {
	case <-s.options.Clock.After(c.latency):
	case <-c.crashed:
		panic(http.ErrAbortHandler)
	case <-s.loop.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	var sick bool
	var incarnation string
	s.do(func(st *state) {
		_, sick = st.faults.Trigger(FaultSick, s.options.Clock.Now())
		incarnation = st.runs.Incarnation
	})
	w.Header().Set("Service-Incarnation", incarnation)
	if sick {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) }

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	spec, err := fault.ReadSpec(w, r)
	if err != nil {
		return
	}
	s.InjectFault(spec)
	w.WriteHeader(http.StatusNoContent)
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
