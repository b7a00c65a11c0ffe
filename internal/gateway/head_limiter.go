package gateway

import (
	"bytes"
	"io"

	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/decide/callerbudget"
)

const (
	// maxHeadBytes bounds the head of a target's response, informational responses included. A
	// faulty target may send one that never ends.
	maxHeadBytes = 64 << 10
	// headLineBytes is the memory that a line of a head takes beside its bytes; see headscan.LineBytes. A head of
	// maxHeadBytes in short lines takes more than twenty times its size.
	headLineBytes = 200
	// usualHeadCost is the cost up to which the head of a response goes before larger ones.
	usualHeadCost = 16 << 10
)

// headLimiter reads from a connection. Until the head of the response is complete, it reads at
// most maxHeadBytes, and takes memory of the host for them.
type headLimiter struct {
	source   io.Reader
	read     int64
	lines    int64
	complete bool // the head has been read
	usual    *callerlimit.Share
	large    *callerlimit.Share
	taken    int64
}

func newHeadLimiter(source io.Reader, memory *callerlimit.Limiter) *headLimiter {
	return &headLimiter{source: source, usual: memory.Share(callerbudget.Answer, ""), large: memory.Share(callerbudget.LargeAnswer, "")}
}

// Read implements io.Reader. It returns a *TooLargeError beyond the limit, and a *callerlimit.LimitError if the
// host has no memory for the head.
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
	l.lines += int64(bytes.Count(headPart(p[:n]), []byte("\n")))
	if takeErr := l.take(l.read + headLineBytes*l.lines); takeErr != nil {
		return 0, takeErr
	}
	return n, err
}

// headPart returns what is before the last empty line, if there is one. What follows it is usually the body.
func headPart(p []byte) []byte {
	if end := bytes.LastIndex(p, []byte("\r\n\r\n")); end >= 0 {
		return p[:end]
	}
	return p
}

// take takes memory up to the given cost of the head.
func (l *headLimiter) take(cost int64) error {
	if cost <= l.taken {
		return nil
	}
	share := l.usual
	if cost > usualHeadCost {
		share = l.large
	}
	step := (cost - l.taken + memoryStep - 1) / memoryStep * memoryStep
	if err := share.Grow(step); err != nil {
		return err
	}
	l.taken += step
	return nil
}

// takeMemory hands the memory over to the owner of the parsed head.
func (l *headLimiter) takeMemory() *callerlimit.Share {
	return l.usual.Join(l.large)
}

// release returns the memory that was not handed over.
func (l *headLimiter) release() {
	l.usual.Release()
	l.large.Release()
}
