package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyDelayDuration is the delay of each read in the mode proxyDelay.
const proxyDelayDuration = 80 * time.Millisecond

// proxy forwards TCP connections to a server and injects faults into them.
type proxy struct {
	listener net.Listener
	server   string
	mode     atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newProxy(server string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, server: server, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) { p.mode.Store(int32(mode)) }

// reset aborts all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		abort(conn)
	}
}

// abort closes a connection with a TCP reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// close stops the listener and resets all connections, as if the server had crashed.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.server)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.copy(server, client, proxyDropsIn)
		go p.copy(client, server, proxyDropsOut)
	}
}

// copy forwards one direction of a connection. It drops the data in the mode dropped, and then all that follows:
// a TCP connection loses no bytes in the middle, nor before its end. A connection that breaks off is reset at its
// other end too.
func (p *proxy) copy(to, from net.Conn, dropped proxyMode) {
	buffer, silent := make([]byte, 16<<10), false
	for {
		n, err := from.Read(buffer)
		mode := proxyMode(p.mode.Load())
		if mode == proxyDelay {
			<-time.After(proxyDelayDuration)
		}
		silent = silent || n > 0 && (mode == proxySilent || mode == dropped)
		if n > 0 && !silent {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == io.EOF && silent {
			return // the end is lost as well; the other direction closes the connection
		}
		if err != nil && err != io.EOF {
			abort(to)
		}
		if err != nil {
			break
		}
	}
	for _, conn := range []net.Conn{to, from} {
		_ = conn.Close()
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
	}
}
