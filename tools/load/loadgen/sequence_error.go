package loadgen

import "fmt"

// sequenceError reports a frame that is not the next one of its stream.
type sequenceError struct {
	want uint64
	got  uint64
	own  bool // the frame belongs to the stream
}

// Error implements error.
func (e *sequenceError) Error() string {
	return fmt.Sprintf("frame %d (own stream: %t), expected %d", e.got, e.own, e.want)
}
