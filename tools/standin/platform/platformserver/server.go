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
	owner *eventloop.Loop[*store]
}

// New starts a stand-in. Close ends its goroutine.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		clock: options.Clock,
		mux:   http.NewServeMux(),
		owner: eventloop.NewPassive(newStore(options)),
	}
	s.route()
	return s
}

// Close ends the goroutine that owns the state. Calls that come later are cut off.
func (s *Server) Close() { s.owner.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counts returns how many calls were served so far.
func (s *Server) Counts() Counts {
	var counts Counts
	s.owner.Do(func(st *store) { counts = st.counts })
	return counts
}

// InjectFault begins a fault.
func (s *Server) InjectFault(order fault.Spec) {
	s.owner.Do(func(st *store) { st.faults.Apply(order, s.clock.Now()) })
}

// act carries out an action of a call and cuts the connection off after Close.
func (s *Server) act(action func(*store)) {
	if !s.owner.Do(action) {
		panic(http.ErrAbortHandler)
	}
}

// wait delays a call, also when its caller has gone.
func (s *Server) wait(d time.Duration) {
	select {
	case <-s.clock.After(d):
	case <-s.owner.Done():
		panic(http.ErrAbortHandler)
	}
}
