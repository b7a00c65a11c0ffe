package engineserver

import (
	"net/http"
	"time"

	"siskintide.example/siskintide/tools/standin/eventloop"
	"siskintide.example/siskintide/tools/standin/fault"
)

// Server serves the protocol of model engines.
type Server struct {
	mux    *http.ServeMux
	loop   *eventloop.Loop[*engine]
	after  func(time.Duration) <-chan time.Time
	exited <-chan struct{}
}

// New starts a stand-in. Close ends its event loop.
func New(options Options) *Server {
	options = options.withDefaults()
	e := newEngine(options)
	s := &Server{
		mux:    http.NewServeMux(),
		loop:   eventloop.New(e, (*engine).nextWake, (*engine).runDue),
		after:  options.Clock.After,
		exited: e.exited,
	}
	s.registerRoutes()
	return s
}

// Close ends the event loop. Connections of later requests are aborted.
func (s *Server) Close() {
	s.loop.Do((*engine).close)
	s.loop.Close()
}

// Exited returns a channel that is closed when the engine ends for good, by FaultExit or
// FaultReclaim.
func (s *Server) Exited() <-chan struct{} { return s.exited }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// InjectFault starts a fault.
func (s *Server) InjectFault(spec fault.Spec) {
	s.loop.Do(func(e *engine) { e.applyFault(spec) })
}

// do runs an action of a request in the event loop. It blocks while the engine is frozen
// and aborts the connection while the engine is down.
func (s *Server) do(action func(*engine)) {
	for {
		var thaw <-chan struct{}
		var down bool
		served := s.loop.Do(func(e *engine) {
			thaw, down = e.thawed, e.isDown()
			if thaw == nil && !down {
				action(e)
			}
		})
		if !served || down && thaw == nil {
			panic(http.ErrAbortHandler)
		}
		if thaw == nil {
			return
		}
		s.waitForClose(thaw)
	}
}

// waitForClose waits until a channel is closed. It aborts the connection after Close.
func (s *Server) waitForClose(closed <-chan struct{}) {
	select {
	case <-closed:
	case <-s.loop.Done():
		panic(http.ErrAbortHandler)
	}
}
