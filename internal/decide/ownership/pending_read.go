package ownership

import "time"

// openRead is a read that awaits its answer; the zero value means that there is none.
type openRead struct {
	id     uint64
	sentAt time.Time
}
