package gateway

import "io"

// maxHeadBytes bounds the head of a target's response, informational responses included. A
// faulty target may send one that never ends.
const maxHeadBytes = 64 << 10

// headLimiter reads from a connection. Until the head of the response is complete, it reads at
// most maxHeadBytes.
type headLimiter struct {
	source   io.Reader
	read     int64
	complete bool // the head has been read
}

// Read implements io.Reader. It returns a *TooLargeError beyond the limit.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.complete {
		return l.source.Read(p)
	}
	left := maxHeadBytes - l.read
	if left <= 0 {
		return 0, &TooLargeError{Part: "head of the response", Limit: maxHeadBytes}
	}
	n, err := l.source.Read(p[:min(int64(len(p)), left)])
	l.read += int64(n)
	return n, err
}
