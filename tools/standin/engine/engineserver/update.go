package engineserver

import "time"

// update carries the progress of a stream to a reader, with the faults to inject.
type update struct {
	produced     int
	ended        bool
	finishReason string // finish reason of an ended stream
	cancelled    bool   // the stream was cancelled

	duplicate bool
	late      bool
	crossed   *stream // copy of another stream; one of its frames is sent
	gap       bool
	cut       bool
	stall     time.Duration
}

// mergeFaults adds the faults of an earlier update that the reader did not receive.
func (u *update) mergeFaults(earlier update) {
	u.duplicate = u.duplicate || earlier.duplicate
	u.late = u.late || earlier.late
	u.gap = u.gap || earlier.gap
	u.cut = u.cut || earlier.cut
	u.stall = max(u.stall, earlier.stall)
	if u.crossed == nil {
		u.crossed = earlier.crossed
	}
}
