package engineserver

import (
	"net/http"
	"time"

	"siskintide.example/siskintide/tools/standin/eventloop"
	"siskintide.example/siskintide/tools/standin/fault"
)

// Server serves the model engines' protocol.
type Server struct {
	mux   *http.ServeMux
	owner *eventloop.Loop[*engine]
	wait  func(time.Duration) <-chan time.Time
	gone  <-chan struct{}
}

// New starts a stand-in. Close ends its goroutine.
func New(options Options) *Server {
	options = options.withDefaults()
	e := newEngine(options)
	s := &Server{
		mux:   http.NewServeMux(),
		owner: eventloop.New(e, (*engine).wake, (*engine).awake),
		wait:  options.Clock.After,
		gone:  e.gone,
	}
	s.route()
	return s
}

// Close ends the goroutine that owns the state. Calls that come later are cut off.
func (s *Server) Close() {
	s.owner.Do((*engine).close)
	s.owner.Close()
}

// Exited is closed when the engine has left for good, by the faults exit and reclaim.
func (s *Server) Exited() <-chan struct{} { return s.gone }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// InjectFault shows a fault.
func (s *Server) InjectFault(order fault.Spec) {
	s.owner.Do(func(e *engine) { e.fault(order) })
}

// act carries out an action of a call. It waits while the engine is frozen, and cuts the
// connection off while the engine is down.
func (s *Server) act(action func(*engine)) {
	for {
		var thaw <-chan struct{}
		var cutOff bool
		served := s.owner.Do(func(e *engine) {
			thaw, cutOff = e.thaw, e.cutOff()
			if thaw == nil && !cutOff {
				action(e)
			}
		})
		if !served || cutOff && thaw == nil {
			panic(http.ErrAbortHandler)
		}
		if thaw == nil {
			return
		}
		s.await(thaw)
	}
}

// await waits for a channel to be closed and cuts the connection off after Close.
func (s *Server) await(closed <-chan struct{}) {
	select {
	case <-closed:
	case <-s.owner.Done():
		panic(http.ErrAbortHandler)
	}
}
