package main

import (
	"fmt"
	"net"
	"strings"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	oversizedChunk = 4 << 10
	oversizedPause = time.Millisecond // between two chunks
)

// oversizedCall is a call outside the limits of heads and bodies: a text that is sent once, then one that is sent
// over and over.
type oversizedCall struct {
	name  string
	begin string
	rest  string
}

// newOversizedCalls returns one call of each kind.
func newOversizedCalls(key, id string) []oversizedCall {
	line := fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\n", platformtest.AtMostOncePrefix, platformtest.RouteHostname)
	head := line + fmt.Sprintf("%s: %s\r\n%s: 15000\r\nAuthorization: Bearer %s\r\n", platformtest.HeaderAttemptID, id, platformtest.HeaderDeadline, key)
	filler := strings.Repeat("x", oversizedChunk)
	return []oversizedCall{
		{name: "head in short lines", begin: head, rest: strings.Repeat("a:b\r\n", oversizedChunk/5)},
		{name: "header line without end", begin: head + "X-Filler: ", rest: filler},
		{name: "request line without end", begin: "GET /", rest: filler},
		{name: "empty lines", rest: strings.Repeat("\r\n", oversizedChunk/2)},
		{name: "body announced", begin: head + "Content-Length: 2000000000\r\n\r\n", rest: filler},
		{name: "body in chunks", begin: head + "Transfer-Encoding: chunked\r\n\r\n", rest: fmt.Sprintf("%x\r\n%s\r\n", oversizedChunk, filler)},
	}
}

// send sends the call until a host closes the connection or the time is over.
func (c oversizedCall) send(address string, duration time.Duration) {
	deadline := time.Now().Add(duration)
	conn, err := net.DialTimeout("tcp", address, duration)
	if err != nil {
		return // the host may have another fault
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	_, err = conn.Write([]byte(c.begin))
	for err == nil && time.Now().Before(deadline) {
		_, err = conn.Write([]byte(c.rest))
		<-time.After(oversizedPause)
	}
}
