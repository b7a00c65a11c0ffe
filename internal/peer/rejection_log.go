package peer

import (
	"sync"
	"time"
)

// rejectionInterval is the least time between two log lines about rejected connections.
const rejectionInterval = 2 * time.Second

// rejectionLog counts the rejected connections that were not logged yet. It is safe for concurrent use.
type rejectionLog struct {
	mu    sync.Mutex
	count int
	next  time.Time // when the next line may be logged
}

// add counts a rejection. It returns the number of rejections to log, and whether a line is due.
func (l *rejectionLog) add(now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if now.Before(l.next) {
		return 0, false
	}
	count := l.count
	l.count, l.next = 0, now.Add(rejectionInterval)
	return count, true
}
