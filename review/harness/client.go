package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is one client with a kept connection to a host.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial connects to a host.
func dial(h *host) (*client, error) {
	conn, err := net.DialTimeout("tcp", h.address(), time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", h.name, err)
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, extra string, bodyBytes int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		method, path, routeHost, id, deadline.Milliseconds(), apiKey, extra, bodyBytes)
}

// call sends a request and reads the complete response.
func (c *client) call(method, path, id string, deadline time.Duration, extra, body string) answer {
	if _, err := io.WriteString(c.conn, head(method, path, id, deadline, extra, len(body))+body); err != nil {
		return answer{err: err}
	}
	return c.read(method, deadline)
}

// read reads one response.
func (c *client) read(method string, deadline time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (c *client) close() { _ = c.conn.Close() }
