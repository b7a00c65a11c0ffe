package serviceserver

import (
	"encoding/json"
	"io"
	"net/http"

	"siskintide.example/siskintide/tools/standin/eventloop"
	"siskintide.example/siskintide/tools/standin/fault"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Server serves calls of a plain service.
type Server struct {
	options Options
	mux     *http.ServeMux
	owner   *eventloop.Loop[*state]
}

// New starts a stand-in. Close ends its goroutine.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{options: options, mux: http.NewServeMux(), owner: eventloop.NewPassive(newState(options))}
	s.mux.HandleFunc("GET /healthz", s.getHealth)
	s.mux.HandleFunc("GET /stand-in/runs", s.getRuns)
	s.mux.HandleFunc("POST /stand-in/fault", s.postFault)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// Close ends the goroutine that owns the state. Calls that come later are cut off.
func (s *Server) Close() { s.owner.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns how often calls ran so far.
func (s *Server) Runs() Runs {
	var runs Runs
	s.owner.Do(func(st *state) { runs = st.snapshot() })
	return runs
}

// InjectFault begins a fault, or loses the process at once if that is the fault.
func (s *Server) InjectFault(order fault.Spec) {
	s.owner.Do(func(st *state) {
		if order.Kind == FaultKill {
			st.lose()
			return
		}
		st.faults.Apply(order, s.options.Clock.Now())
	})
}

// act carries out an action of a call and cuts the connection off after Close.
func (s *Server) act(action func(*state)) {
	if !s.owner.Do(action) {
		panic(http.ErrAbortHandler)
	}
}

// serve runs one call of the service.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := &call{r: r, body: body}
	s.act(func(st *state) { st.begin(c) })
	if c.drop {
		panic(http.ErrAbortHandler)
	}
	s.await(c)
	s.act(func(st *state) { st.end(c) })
	answer(w, map[string]string{"path": r.URL.Path, "body": string(body)})
}

// await waits while a call runs and cuts the connection when its process is lost. A call
// runs on when its caller has gone.
func (s *Server) await(c *call) {
	select {
	case <-c.lost:
		panic(http.ErrAbortHandler)
	default:
	}
	if c.latency == 0 {
		return
	}
	select {
	case <-s.options.Clock.After(c.latency):
	case <-c.lost:
		panic(http.ErrAbortHandler)
	case <-s.owner.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	var sick bool
	var incarnation string
	s.act(func(st *state) {
		_, sick = st.faults.Trigger(FaultSick, s.options.Clock.Now())
		incarnation = st.runs.Incarnation
	})
	w.Header().Set("Service-Incarnation", incarnation)
	if sick {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) { answer(w, s.Runs()) }

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	order, err := fault.ReadSpec(w, r)
	if err != nil {
		return
	}
	s.InjectFault(order)
	w.WriteHeader(http.StatusNoContent)
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
