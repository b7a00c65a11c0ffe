package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// exchange is one request at a runner.
type exchange struct {
	conn    net.Conn
	request *http.Request
	body    []byte
	id      string
	number  int // of the request at this runner
	closed  bool
}

// answer writes a complete response with the request's id.
func (c *exchange) answer(status string, signed bool, body string) {
	head := "HTTP/1.1 " + status + "\r\nAttempt-Id: " + c.id + "\r\n"
	if signed {
		head += "Response-Signature: " + signature(c.id) + "\r\n"
	}
	c.write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
}

// beginStream writes the head of a stream that is sent in chunks.
func (c *exchange) beginStream() {
	c.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + c.id + "\r\nResponse-Signature: " + signature(c.id) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// chunk writes one chunk; an empty one ends the body.
func (c *exchange) chunk(text string) { c.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

func (c *exchange) write(text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.closed = true
	}
}
