package rawhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server responds to requests with fixed bytes. It keeps their connections open until the client closes them, unless it
// resets them.
type Server struct {
	listener  net.Listener
	responses []string
	resets    bool          // a connection after its first response, which is sent before the body of the request is read
	pause     time.Duration // between the response and the reset
	requests  atomic.Int64
	serving   sync.WaitGroup
	closed    context.Context // ended by Close
	end       context.CancelFunc
}

// Start starts a server on a free port of the loopback address. The first request gets the first response, and so
// on; those after the last response get that one.
func Start(responses ...string) (*Server, error) {
	return start(&Server{responses: responses})
}

// StartResetting starts a server that responds as soon as it has the head of a request, and resets the connection after a
// pause. A client with a large body is still sending it.
func StartResetting(response string, pause time.Duration) (*Server, error) {
	return start(&Server{responses: []string{response}, resets: true, pause: pause})
}

func start(s *Server) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.closed, s.end = context.WithCancel(context.Background())
	s.serving.Go(s.accept)
	return s, nil
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that the server has read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.end()
	_ = s.listener.Close()
	s.serving.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer context.AfterFunc(s.closed, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.resets {
			_, _ = io.Copy(io.Discard, request.Body) // the next read fails if this one does
		}
		response := s.responses[min(int(s.requests.Add(1)), len(s.responses))-1]
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		if s.resets {
			<-time.After(s.pause)
			reset(conn)
			return
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
