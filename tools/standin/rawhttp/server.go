package rawhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server responds to requests with fixed bytes, and keeps their connections open until the client closes them.
type Server struct {
	listener  net.Listener
	responses []string
	requests  atomic.Int64
	serving   sync.WaitGroup
	closed    context.Context // ended by Close
	end       context.CancelFunc
}

// Start starts a server on a free port of the loopback address. The first request gets the first response, and so
// on; those after the last response get that one.
func Start(responses ...string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, responses: responses}
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
		_, _ = io.Copy(io.Discard, request.Body) // the next read fails if this one does
		response := s.responses[min(int(s.requests.Add(1)), len(s.responses))-1]
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}
