package ownership

import "time"

// pendingRead is a read that awaits its response. Its zero value means that there is none.
type pendingRead struct {
	id     uint64
	sentAt time.Time
}
