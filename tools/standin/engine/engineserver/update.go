package engineserver

import "time"

// update tells a reader of a stream how far the stream has got and which faults to show.
type update struct {
	produced int
	ended    bool
	reason   string // finish reason of an ended stream
	gone     bool   // the stream was cancelled

	duplicate bool
	late      bool
	crossed   *stream // copy of another stream, one frame of which is sent
	gap       bool
	cut       bool
	stall     time.Duration
}

// inherit adds the faults of an earlier update that was not shown.
func (u *update) inherit(earlier update) {
	u.duplicate = u.duplicate || earlier.duplicate
	u.late = u.late || earlier.late
	u.gap = u.gap || earlier.gap
	u.cut = u.cut || earlier.cut
	u.stall = max(u.stall, earlier.stall)
	if u.crossed == nil {
		u.crossed = earlier.crossed
	}
}
