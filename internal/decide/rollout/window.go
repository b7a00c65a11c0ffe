package rollout

import (
	"math"
	"time"
)

// Versions are compared window by window, since requests are not exposed evenly over time: what slows down all
// targets for a moment would otherwise speak against the version that gets more requests in that moment.
const (
	// firstWindows is the number of windows of windowLength; later ones grow, so that a long rollout has few.
	firstWindows       = 8
	windowLength       = time.Second
	windowsPerDoubling = 4
	maxWindow          = 64
)

// windowOf returns the number of the window of a time since the order.
func windowOf(elapsed time.Duration) uint32 {
	steady := firstWindows * windowLength
	if elapsed < steady {
		return uint32(max(elapsed, 0) / windowLength)
	}
	return min(firstWindows+uint32(windowsPerDoubling*math.Log2(float64(elapsed)/float64(steady))), maxWindow)
}
