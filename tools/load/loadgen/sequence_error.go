package loadgen

import "fmt"

// sequenceError reports a frame of another stream or with an unexpected sequence number.
type sequenceError struct {
	want       uint64
	got        uint64
	sameStream bool // the frame carries the generation ID of this stream
}

// Error implements error.
func (e *sequenceError) Error() string {
	return fmt.Sprintf("frame %d (own stream: %t), expected %d", e.got, e.sameStream, e.want)
}
