package platformserver

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/tools/standin/eventloop"
	"siskintide.example/siskintide/tools/standin/fault"
)

// Server serves the platform's protocol from memory.
type Server struct {
	clock clockwork.Clock
	mux   *http.ServeMux
	loop  *eventloop.Loop[*store]
}

// New starts a stand-in. Close ends its event loop.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		clock: options.Clock,
		mux:   http.NewServeMux(),
		loop:  eventloop.NewPassive(newStore(options)),
	}
	s.registerRoutes()
	return s
}

// Close ends the event loop. Connections of later requests are aborted.
func (s *Server) Close() { s.loop.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counts returns the numbers of requests served so far.
func (s *Server) Counts() Counts {
	var counts Counts
	s.loop.Do(func(st *store) { counts = st.counts })
	return counts
}

// InjectFault starts a fault.
func (s *Server) InjectFault(spec fault.Spec) {
	s.loop.Do(func(st *store) { st.faults.Apply(spec, s.clock.Now()) })
}

// do runs an action of a request in the event loop. It aborts the connection after Close.
func (s *Server) do(action func(*store)) {
	if !s.loop.Do(action) {
		panic(http.ErrAbortHandler)
	}
}

// delay blocks a request for a time, even if the client disconnects.
func (s *Server) delay(d time.Duration) {
	select {
	case <-s.clock.After(d):
	case <-s.loop.Done():
		panic(http.ErrAbortHandler)
	}
}
