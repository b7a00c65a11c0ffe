package responsehead

import "net"

// conn is a connection whose responses are checked.
type conn struct {
	net.Conn
	reader *Reader
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) { return c.reader.Read(p) }
