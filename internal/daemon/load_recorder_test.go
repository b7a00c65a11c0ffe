package daemon

import (
	"fmt"
	"sync"
	"time"
)

// loadRecorder records when engines begin to load model versions, as the engines see it. A test
// that reads one engine after the other sees two loads that follow each other as simultaneous.
type loadRecorder struct {
	mu      sync.Mutex
	readyAt time.Time // end of the last load that has begun
	overlap string    // first load that began before another one was over; empty for none
}

// add implements engineserver.Options.OnLoad for all engines of a deployment.
func (r *loadRecorder) add(version string, began time.Time, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if began.Before(r.readyAt) && r.overlap == "" {
		r.overlap = fmt.Sprintf("the load of %s began %v before the end of another", version, r.readyAt.Sub(began))
	}
	if end := began.Add(duration); end.After(r.readyAt) {
		r.readyAt = end
	}
}

// violation returns the first overlap of two loads, or an empty text.
func (r *loadRecorder) violation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlap
}
