package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections to a runner. While it is cut, nothing passes in either direction, and what was under way is
// held up until the cut heals, as by a partition; new connections fail.
type proxy struct {
	address string
	to      string

	mu       sync.Mutex
	listener net.Listener
	healed   chan struct{} // closed while it is not cut
}

func newProxy(to string) (*proxy, error) {
	p := &proxy{to: to, healed: make(chan struct{})}
	close(p.healed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address, p.listener = listener.Addr().String(), listener
	go p.accept(listener)
	return p, nil
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

func (p *proxy) pass(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() {
		p.copy(far, near)
		_ = far.Close()
	}()
	p.copy(near, far)
}

// copy copies until the source ends. A reset of the source is passed on as one.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err != io.EOF {
				_ = tcp.SetLinger(0)
			}
			return
		}
	}
}

func (p *proxy) await() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

// cut begins a cut.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
	_ = p.listener.Close()
}

// heal ends a cut.
func (p *proxy) heal() error {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", p.address); err == nil {
			break
		}
		<-time.After(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	go p.accept(listener)
	close(p.healed)
	return nil
}
